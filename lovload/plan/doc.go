// Package plan holds the description of an experiment: arrivals, jobs and faults, all bounded and seeded.
package plan
