// Package reqs compares routing, overflow and admission policies of requests in virtual time.
//
// It drives one [serve.Machine] for each entry host against fake backend servers and links.
package reqs
