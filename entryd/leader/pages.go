package leader

import (
	"context"

	"lovagefork.example/coord/store"
)

// readAll reads all entries with a prefix, page by page. It returns the revision of the first page, so that a watch
// from there misses no change.
func readAll(ctx context.Context, client store.Client, prefix string) ([]store.Entry, store.Revision, error) {
	var all []store.Entry
	revision, err := readPages(ctx, client, prefix, func(page []store.Entry) { all = append(all, page...) })
	if err != nil {
		return nil, 0, err
	}
	return all, revision, nil
}

// readPages calls observe with each page of the entries with a prefix, and returns the revision of the first one.
func readPages(ctx context.Context, client store.Client, prefix string, observe func([]store.Entry)) (store.Revision, error) {
	var revision store.Revision
	after := ""
	for {
		page, err := client.Range(ctx, store.Get{Key: prefix, Prefix: true, After: after})
		if err != nil {
			return 0, err
		}
		if after == "" {
			revision = page.Revision
		}
		observe(page.Entries)
		if !page.More || len(page.Entries) == 0 {
			return revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}
