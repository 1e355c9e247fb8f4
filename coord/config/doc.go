// Package config implements the versioned configuration of customers.
//
// [Machine] accepts a change by a compare-and-set transaction in the store, and brings documents into effect in
// ascending order of revision, so that a customer's configuration never reverts to an older one. Processes learn of new
// documents from a store watch, from polling the store, and from their peers.
package config
