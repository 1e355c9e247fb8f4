// Package admit implements admission control: which requests are queued, which are rejected early, and which queued
// request runs next.
package admit
