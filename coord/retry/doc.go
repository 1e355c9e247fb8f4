// Package retry spaces repeated calls by exponential backoff with jitter and bounds the share of calls that are repeats.
package retry
