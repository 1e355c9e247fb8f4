// Package admin manages the customers' configuration in an entry process: it stores changes, keeps the documents in
// effect up to date, and serves the HTTP interface for operators.
package admin
