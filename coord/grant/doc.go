// Package grant divides the slots and connections of workers among the entry processes: fixed shares and short loans.
package grant
