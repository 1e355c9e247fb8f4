// Command review-2 plays the scripted cases of the second review: it starts entry processes of the deploy file with stand-ins of
// the platform on loopback addresses, and exits with 1 if the rule of a case was broken, 0 if it held and 2 if it could not run.
package main
