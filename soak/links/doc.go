// Package links disturbs the connections of a server in this process: it refuses, resets, silences or delays them, or loses
// what the server sends.
package links
