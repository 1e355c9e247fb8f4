// Package retry provides exponential backoff with jitter, a retry loop, and a budget that limits the share of calls
// that are retries.
package retry
