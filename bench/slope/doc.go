// Package slope measures the processor time, memory and message sizes of the state machines at several sizes and fits a
// line to each measurement.
package slope
