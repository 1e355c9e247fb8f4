package show

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// jobColumns are the fields of a job that a list shows; fields that the entry process does not send stay empty.
var jobColumns = []string{"job_id", "customer", "class", "kind", "state", "tasks", "waiting", "running", "succeeded", "failed"}

// Jobs prints a list of jobs, given as an array or as {"jobs": [...]}.
func Jobs(w io.Writer, data json.RawMessage) error {
	var list []map[string]any
	if err := json.Unmarshal(data, &list); err != nil {
		var wrapped struct {
			Jobs []map[string]any `json:"jobs"`
		}
		if err := json.Unmarshal(data, &wrapped); err != nil {
			return err
		}
		list = wrapped.Jobs
	}
	rows := [][]string{jobColumns}
	for _, job := range list {
		row := make([]string, len(jobColumns))
		for i, column := range jobColumns {
			if value, found := job[column]; found {
				row[i] = text(value)
			}
		}
		rows = append(rows, row)
	}
	table(w, rows)
	return nil
}

// Fields prints a JSON object as one line for each field; nested objects and lists are indented.
func Fields(w io.Writer, data json.RawMessage) error {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return err
	}
	fields(w, "", tree)
	return nil
}

func fields(w io.Writer, indent string, tree any) {
	switch node := tree.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(node)) {
			field(w, indent+key+":", indent, node[key])
		}
	case []any:
		for _, child := range node {
			field(w, indent+"-", indent, child)
		}
	default:
		_, _ = fmt.Fprintln(w, indent+text(node))
	}
}

func field(w io.Writer, head, indent string, value any) {
	switch value.(type) {
	case map[string]any, []any:
		_, _ = fmt.Fprintln(w, head)
		fields(w, indent+"  ", value)
	default:
		_, _ = fmt.Fprintln(w, head+" "+text(value))
	}
}

// text writes whole numbers without an exponent.
func text(value any) string {
	if number, ok := value.(float64); ok && number == float64(int64(number)) {
		return fmt.Sprint(int64(number))
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}
