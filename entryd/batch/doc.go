// Package batch runs the batch side of an entry process: session, partitions, ledgers, jobs, and the HTTP for jobs.
package batch
