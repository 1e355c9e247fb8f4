// Package reqs compares routing, overflow and admission policies for requests in virtual time.
//
// It drives one [serve.Machine] for each entry host with simulated backend servers and network links.
package reqs
