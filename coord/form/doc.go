// Package form holds the questionnaire: its answers, their validation, and the configuration generated from them.
package form
