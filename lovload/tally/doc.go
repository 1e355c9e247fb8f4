// Package tally collects the outcomes of an experiment and computes counts, latency percentiles and a timeline.
package tally
