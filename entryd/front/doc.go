// Package front takes callers' requests over HTTP, sends them to backend servers, and speaks with the other entry
// processes about slots.
package front
