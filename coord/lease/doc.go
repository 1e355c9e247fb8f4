// Package lease reduces the store session of an entry process and the partitions that the process owns under it.
package lease
