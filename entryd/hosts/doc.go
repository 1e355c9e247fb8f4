// Package hosts polls the platform's host list and tells the other parts of the entry daemon which workers exist.
package hosts
