// Package vnet is an in-memory network for tests, whose hosts have links with a bandwidth and a latency. It takes its
// time from package time, so that in a bubble of testing/synctest transfers take virtual time only.
package vnet
