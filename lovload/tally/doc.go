// Package tally collects the outcomes of an experiment and computes counts, percentiles and the timeline.
package tally
