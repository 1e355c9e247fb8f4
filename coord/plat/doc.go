// Package plat defines the interfaces to the platform's worker agents and host list, and implements them over HTTP with
// JSON.
package plat
