// Package slope measures processor time, memory and bytes of the reducers at several sizes and fits a line to them.
package slope
