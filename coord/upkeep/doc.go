// Package upkeep takes machines through waves of maintenance: each is emptied first, and no more are down at a time than the
// wave allows.
package upkeep
