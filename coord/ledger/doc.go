// Package ledger implements the durable log of partitions: the encoding of records, group commit, compaction and
// recovery.
package ledger
