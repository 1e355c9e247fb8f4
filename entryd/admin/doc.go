// Package admin runs the configuration of customers in an entry process and serves its HTTP interface.
package admin
