package form

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"lovagefork.example/coord/config"
)

// Difference is one field whose value differs between two versions. From or To is empty if that version lacks the
// field.
type Difference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// String formats the difference as one line of text.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Field, cmp.Or(d.From, "(none)"), cmp.Or(d.To, "(none)"))
}

// Diff returns the fields that differ between two sets of answers, in ascending order of field.
//
// List elements are matched by name, so reordering a list makes no difference.
func Diff(from, to Answers) []Difference {
	return diff(flatten(from), flatten(to))
}

// DiffDocuments returns the fields that differ between two documents, in the same form as [Diff].
func DiffDocuments(from, to config.Document) []Difference {
	return diff(flatten(from), flatten(to))
}

func diff(from, to map[string]string) []Difference {
	all := maps.Clone(from)
	maps.Copy(all, to)
	differences := []Difference{}
	for _, field := range slices.Sorted(maps.Keys(all)) {
		if from[field] != to[field] {
			differences = append(differences, Difference{Field: field, From: from[field], To: to[field]})
		}
	}
	return differences
}

// flatten maps the path of each leaf in the value's JSON encoding to the text of that leaf.
func flatten(value any) map[string]string {
	leaves := make(map[string]string)
	data, err := json.Marshal(value)
	if err != nil {
		return leaves
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return leaves
	}
	flattenInto(leaves, "", tree)
	return leaves
}

func flattenInto(leaves map[string]string, path string, tree any) {
	switch node := tree.(type) {
	case nil:
	case map[string]any:
		for key, child := range node {
			childPath := key
			if path != "" {
				childPath = path + "." + key
			}
			flattenInto(leaves, childPath, child)
		}
	case []any:
		for i, child := range node {
			childPath := fmt.Sprintf("%s[%s]", path, elementName(i, child))
			if _, isName := child.(string); isName {
				child = "listed"
			}
			flattenInto(leaves, childPath, child)
		}
	case float64:
		leaves[path] = formatNumber(node)
	default:
		leaves[path] = fmt.Sprint(node)
	}
}

func elementName(index int, element any) string {
	switch node := element.(type) {
	case string:
		return node
	case map[string]any:
		if name, ok := node["name"].(string); ok {
			return name
		}
	}
	return fmt.Sprint(index)
}

// formatNumber formats whole numbers without an exponent, because amounts of memory in bytes are large.
func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprint(v)
}
