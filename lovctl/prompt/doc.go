// Package prompt asks an operator the questions of a customer's questionnaire on a terminal.
package prompt
