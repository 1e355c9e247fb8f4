// Package peers keeps WebSocket links between the entry processes and carries calls and one-way messages over them.
package peers
