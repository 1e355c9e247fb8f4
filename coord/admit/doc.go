// Package admit decides which requests wait, which are rejected early, and which goes next.
package admit
