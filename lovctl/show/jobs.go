package show

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// jobColumns are the fields of a job in the list of jobs; a field that the response lacks is left empty.
var jobColumns = []string{"job_id", "customer", "class", "kind", "state", "tasks", "task_states", "partition"}

// Jobs prints a list of jobs, and the partitions whose owners did not respond and whose jobs are therefore missing.
func Jobs(w io.Writer, data json.RawMessage) error {
	var list struct {
		Jobs       []map[string]any `json:"jobs"`
		Incomplete []string         `json:"incomplete"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	rows := [][]string{jobColumns}
	for _, job := range list.Jobs {
		row := make([]string, len(jobColumns))
		for i, column := range jobColumns {
			if value, found := job[column]; found {
				row[i] = formatValue(value)
			}
		}
		rows = append(rows, row)
	}
	printTable(w, rows)
	if len(list.Incomplete) > 0 {
		_, _ = fmt.Fprintf(w, "\nincomplete: no answer for the partitions %s\n", strings.Join(list.Incomplete, ", "))
	}
	return nil
}

// Fields prints a JSON object with one line per field, sorted by name; nested objects and lists are indented.
func Fields(w io.Writer, data json.RawMessage) error {
	var value any
	if err := json.Unmarshal(data, &value); err != nil {
		return err
	}
	printTree(w, "", value)
	return nil
}

// printTree prints the members of an object, the elements of a list, or a single value.
func printTree(w io.Writer, indent string, value any) {
	switch node := value.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(node)) {
			printField(w, indent+key+":", indent, node[key])
		}
	case []any:
		for _, child := range node {
			printField(w, indent+"-", indent, child)
		}
	default:
		_, _ = fmt.Fprintln(w, indent+formatValue(node))
	}
}

// printField prints a value after its name or list marker, nested values on the following lines.
func printField(w io.Writer, label, indent string, value any) {
	switch value.(type) {
	case map[string]any, []any:
		_, _ = fmt.Fprintln(w, label)
		printTree(w, indent+"  ", value)
	default:
		_, _ = fmt.Fprintln(w, label+" "+formatValue(value))
	}
}

// formatValue formats a JSON value on one line, with whole numbers in full instead of in exponent notation.
func formatValue(value any) string {
	if number, ok := value.(float64); ok && number == float64(int64(number)) {
		return fmt.Sprint(int64(number))
	}
	switch node := value.(type) {
	case nil:
		return ""
	case map[string]any:
		var parts []string
		for _, key := range slices.Sorted(maps.Keys(node)) {
			parts = append(parts, key+"="+formatValue(node[key]))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}
