// Package peers maintains WebSocket links between entry processes and sends calls and one-way messages over them.
package peers
