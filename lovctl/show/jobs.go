package show

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// jobColumns are the fields of a job that a list shows; fields that the entry process does not send stay empty.
var jobColumns = []string{"job_id", "customer", "class", "kind", "state", "tasks", "task_states", "partition"}

// Jobs prints a list of jobs; it says so if the owners of some partitions did not answer.
func Jobs(w io.Writer, data json.RawMessage) error {
	var answer struct {
		Jobs       []map[string]any `json:"jobs"`
		Incomplete []string         `json:"incomplete"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	rows := [][]string{jobColumns}
	for _, job := range answer.Jobs {
		row := make([]string, len(jobColumns))
		for i, column := range jobColumns {
			if value, found := job[column]; found {
				row[i] = formatValue(value)
			}
		}
		rows = append(rows, row)
	}
	printTable(w, rows)
	if len(answer.Incomplete) > 0 {
		_, _ = fmt.Fprintf(w, "\nincomplete: no answer for the partitions %s\n", strings.Join(answer.Incomplete, ", "))
	}
	return nil
}

// Fields prints a JSON object as one line for each field; nested objects and lists are indented.
func Fields(w io.Writer, data json.RawMessage) error {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return err
	}
	printTree(w, "", tree)
	return nil
}

func printTree(w io.Writer, indent string, tree any) {
	switch node := tree.(type) {
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

func printField(w io.Writer, head, indent string, value any) {
	switch value.(type) {
	case map[string]any, []any:
		_, _ = fmt.Fprintln(w, head)
		printTree(w, indent+"  ", value)
	default:
		_, _ = fmt.Fprintln(w, head+" "+formatValue(value))
	}
}

// text writes whole numbers without an exponent.
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
