// Package wire defines the messages between entry processes and their CBOR encoding.
package wire
