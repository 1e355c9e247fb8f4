// Command stand plays one case of the review: it serves stand-ins of the platform's store and of its workers on loopback
// addresses, starts entry processes as the deploy file does, and checks one rule from what callers and workers see.
package main
