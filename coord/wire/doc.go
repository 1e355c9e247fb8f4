// Package wire defines the messages that entry processes exchange and encodes them as CBOR.
package wire
