package show

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"lovagefork.example/coord/config"
	"lovagefork.example/coord/fleet"
	"lovagefork.example/coord/form"
	"lovagefork.example/coord/store"
)

// JSON prints a JSON text, indented.
func JSON(w io.Writer, data json.RawMessage) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(data), "", "  "); err != nil {
		_, _ = w.Write(data)
		return
	}
	_, _ = fmt.Fprintln(w, indented.String())
}

// Differences prints one line for each field, or "no difference".
func Differences(w io.Writer, title string, differences []form.Difference) {
	_, _ = fmt.Fprintln(w, title)
	if len(differences) == 0 {
		_, _ = fmt.Fprintln(w, "  no difference")
	}
	for _, d := range differences {
		if d.From != "" {
			_, _ = fmt.Fprintf(w, "  - %s = %s\n", d.Field, d.From)
		}
		if d.To != "" {
			_, _ = fmt.Fprintf(w, "  + %s = %s\n", d.Field, d.To)
		}
	}
}

// table prints rows in columns; the first row is the heading.
func table(w io.Writer, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

// Current prints a customer's configuration.
func Config(w io.Writer, c form.CurrentConfig) {
	_, _ = fmt.Fprintf(w, "customer %s, revision %d, change %s (number %d)\n\n", c.Customer, c.Revision, c.ChangeID, c.Sequence)
	Services(w, []form.CurrentConfig{c})
	rows := [][]string{{"BATCH", "CLASS", "RESOURCES", "ATTEMPTS"}}
	for _, b := range c.Document.Batch {
		rows = append(rows, []string{b.Name, b.Class.String(), b.Resources.String(), fmt.Sprint(b.MaxAttempts)})
	}
	_, _ = fmt.Fprintln(w)
	table(w, rows)
	q := c.Document.Quota
	_, _ = fmt.Fprintf(w, "\nquota (0 is no limit): %s, %d running tasks, %g requests/s, weight %d\n",
		q.Resources, q.RunningTasks, q.RequestsPerSecond, q.Weight)
}

// Services prints the services of customers.
func Services(w io.Writer, all []form.CurrentConfig) {
	rows := [][]string{{"SERVICE", "CLASS", "REPLICAS", "DEADLINE", "RESOURCES", "RUNS", "REVISION"}}
	for _, c := range all {
		for _, s := range c.Document.Services {
			rows = append(rows, serviceRow(c, s))
		}
	}
	table(w, rows)
}

func serviceRow(c form.CurrentConfig, s config.Service) []string {
	runs := "any number"
	if s.NonIdempotent {
		runs = "at most once"
	}
	return []string{
		string(fleet.NewServiceID(c.Customer, s.Name)), s.Class.String(), fmt.Sprint(s.Replicas),
		fmt.Sprintf("%d ms", s.DeadlineMS), s.Resources.String(), runs, fmt.Sprint(c.Revision),
	}
}

// History prints a customer's changes, the newest first.
func History(w io.Writer, h form.History) {
	for _, e := range h.History {
		title := fmt.Sprintf("%s  revision %d  change %s (number %d, after revision %d)",
			e.Time.Format("2006-01-02 15:04:05Z"), e.Revision, e.ChangeID, e.Sequence, e.BaseRevision)
		Differences(w, title, e.Differences)
	}
}

// Status prints which revision is in effect at which entry process; an asterisk marks those that lag behind.
func Status(w io.Writer, s form.Status) {
	newest := newestRevisions(s)
	_, _ = fmt.Fprintf(w, "entry host %s: store read %t, store watch %t, %d customers\n\n",
		s.EntryHost, s.Loaded, s.Watching, len(s.Revisions))
	rows := [][]string{{"ENTRY HOST", "LINK", "LAST HEARD", "CUSTOMERS", "BEHIND"}}
	rows = append(rows, []string{string(s.EntryHost), "self", "", fmt.Sprint(len(s.Revisions)), behind(s.Revisions, newest)})
	for _, p := range s.Peers {
		link := "down"
		if p.Linked {
			link = "up"
		}
		heard := "never"
		if p.StateAgeMS >= 0 {
			heard = fmt.Sprintf("%d ms ago", p.StateAgeMS)
		}
		rows = append(rows, []string{string(p.EntryHost), link, heard, fmt.Sprint(len(p.Revisions)), behind(p.Revisions, newest)})
	}
	table(w, rows)
	_, _ = fmt.Fprintln(w)
	rows = [][]string{{"CUSTOMER", "REVISION"}}
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		rows = append(rows, []string{string(id), fmt.Sprint(newest[id])})
	}
	table(w, rows)
}

func newestRevisions(s form.Status) map[fleet.CustomerID]store.Revision {
	newest := maps.Clone(s.Revisions)
	if newest == nil {
		newest = make(map[fleet.CustomerID]store.Revision)
	}
	for _, p := range s.Peers {
		for id, revision := range p.Revisions {
			newest[id] = max(newest[id], revision)
		}
	}
	return newest
}

// behind names the customers of which an entry process has an older revision.
func behind(held, newest map[fleet.CustomerID]store.Revision) string {
	var names []string
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		if held[id] < newest[id] {
			names = append(names, fmt.Sprintf("%s (%d)", id, held[id]))
		}
	}
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
