// Package member reconciles the platform's lagging host list with what this process observes of the workers itself.
package member
