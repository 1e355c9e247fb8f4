package form

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"lovagefork.example/coord/config"
)

// Difference is one field that two values disagree on; From or To is empty where the field is missing.
type Difference struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// String formats the difference for people.
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s -> %s", d.Field, cmp.Or(d.From, "(none)"), cmp.Or(d.To, "(none)"))
}

// Diff lists the fields that two sets of answers disagree on, in ascending order of field.
//
// Entries of lists are matched by name, so that a reordered list does not differ.
func Diff(from, to Answers) []Difference {
	return diff(flatten(from), flatten(to))
}

// DiffDocuments lists the fields that two documents disagree on, as [Diff] does.
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

// flatten maps the path of each leaf of the value's JSON form to its text.
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

// formatNumber writes large whole numbers such as bytes without an exponent.
func formatNumber(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprint(v)
}
