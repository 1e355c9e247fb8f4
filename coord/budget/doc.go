// Package budget divides the store's rate limits among the live processes and orders the calls of each process by
// priority. It works like a token bucket whose rate depends on the number of live processes.
package budget
