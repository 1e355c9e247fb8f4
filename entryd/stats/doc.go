// Package stats writes a go-metrics registry in the Prometheus text format.
package stats
