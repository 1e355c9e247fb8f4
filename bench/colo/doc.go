// Package colo compares placement policies on colocated services and batch work in virtual time.
//
// It drives [place.Machine] with fake workers whose true sizes and pairwise slowdowns are hidden from it.
package colo
