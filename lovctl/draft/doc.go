// Package draft keeps answers that an operator edits together with the revision that they were derived from.
package draft
