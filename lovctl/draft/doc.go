// Package draft reads and writes drafts: files with edited questionnaire answers and the revision that they were
// derived from.
package draft
