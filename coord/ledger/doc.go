// Package ledger reduces the durable records of partitions: their encoding, group commit, compaction and recovery.
package ledger
