// Package prompt asks the questionnaire on a terminal.
package prompt
