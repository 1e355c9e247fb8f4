// Package entry calls the HTTP interface of entry processes and fails over between them.
package entry
