package answers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Change is a field or an element that differs between two answers.
type Change struct {
	Path   string `json:"path"` // such as customers[urad].budgets[main].prepaid
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// String returns the path with both values.
func (c Change) String() string {
	switch {
	case c.Before == nil:
		return fmt.Sprintf("+ %s: %s", c.Path, format(c.After))
	case c.After == nil:
		return fmt.Sprintf("- %s: %s", c.Path, format(c.Before))
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, format(c.Before), format(c.After))
}

// Comparison is a three-way comparison.
type Comparison struct {
	Theirs []Change `json:"theirs"` // from the base to theirs
	Mine   []Change `json:"mine"`   // from the base to mine
	// Conflicts are the paths that both sides changed in different ways.
	Conflicts []string `json:"conflicts"`
}

// String lists the changes of both sides and the conflicts.
func (c Comparison) String() string {
	var b strings.Builder
	for _, change := range c.Theirs {
		fmt.Fprintf(&b, "theirs %s\n", change)
	}
	for _, change := range c.Mine {
		fmt.Fprintf(&b, "mine   %s\n", change)
	}
	for _, path := range c.Conflicts {
		fmt.Fprintf(&b, "both   %s\n", path)
	}
	return b.String()
}

// Difference returns the changes from one answers to another, sorted by path.
// Elements are compared by identifier, not by position. Revisions are ignored.
func Difference(before, after Answers) []Change {
	return changes("", treeOf(before), treeOf(after))
}

// Compare compares two answers with the base that both were made from.
func Compare(base, theirs, mine Answers) Comparison {
	root := treeOf(base)
	t, m := treeOf(theirs), treeOf(mine)
	_, conflicts := merge("", root, t, m)
	return Comparison{Theirs: changes("", root, t), Mine: changes("", root, m), Conflicts: conflicts}
}

// Merge returns theirs with the changes from base to mine. Its revision is
// that of theirs. It fails, with the comparison's conflicts in the error, if
// both sides changed the same field, or if the merged answers are wrong.
func Merge(base, theirs, mine Answers) (merged Answers, err error) {
	defer func() { err = merry.Prepend(err, "merging answers") }()
	tree, conflicts := merge("", treeOf(base), treeOf(theirs), treeOf(mine))
	if len(conflicts) > 0 {
		return Answers{}, merry.Errorf("both sides changed %s", strings.Join(conflicts, ", "))
	}
	data, err := json.Marshal(listOf(tree))
	if err != nil {
		return Answers{}, err
	}
	if merged, err = Decode(data); err != nil {
		return Answers{}, err
	}
	merged.Revision = theirs.Revision
	return merged, nil
}

// object is a JSON object, or a list of objects by identifier.
type object map[string]any

// list is a list of objects by identifier.
type list struct{ elements object }

// treeOf returns the JSON form of a with lists of objects keyed by identifier.
func treeOf(a Answers) any {
	a.Revision = 0
	data, err := json.Marshal(Canonical(a))
	if err != nil {
		panic(err) // no field of Answers can fail
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		panic(err)
	}
	return keyed(tree)
}

func keyed(value any) any {
	switch v := value.(type) {
	case map[string]any:
		o := make(object, len(v))
		for name, member := range v {
			o[name] = keyed(member)
		}
		return o
	case []any:
		return keyedList(v)
	}
	return value
}

func keyedList(elements []any) any {
	keyedElements := make(object, len(elements))
	for _, element := range elements {
		o, ok := keyed(element).(object)
		if !ok {
			return elements // a list of identifiers changes as a whole
		}
		keyedElements[identity(o)] = o
	}
	return list{elements: keyedElements}
}

// identity returns what an element of a list is known by.
func identity(o object) string {
	if id, ok := o["id"].(string); ok {
		return id
	}
	return fmt.Sprint(o["method"], " ", o["pathPrefix"])
}

// listOf undoes keyed.
func listOf(value any) any {
	switch v := value.(type) {
	case object:
		o := make(map[string]any, len(v))
		for name, member := range v {
			o[name] = listOf(member)
		}
		return o
	case list:
		elements := make([]any, 0, len(v.elements))
		for _, id := range slices.Sorted(maps.Keys(v.elements)) {
			elements = append(elements, listOf(v.elements[id]))
		}
		return elements
	}
	return value
}

// members returns the members of an object or list, and the form of the paths
// of its members.
func members(value any) (o object, pathFormat string, ok bool) {
	switch v := value.(type) {
	case object:
		return v, "%s.%s", true
	case list:
		return v.elements, "%s[%s]", true
	}
	return nil, "", false
}

func changes(path string, before, after any) (found []Change) {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	b, pathFormat, okBefore := members(before)
	a, _, okAfter := members(after)
	if !okBefore || !okAfter {
		return []Change{{Path: path, Before: listOf(before), After: listOf(after)}}
	}
	for _, name := range union(b, a) {
		found = append(found, changes(inner(path, pathFormat, name), b[name], a[name])...)
	}
	return found
}

// merge returns theirs with the changes from base to mine, and the paths at
// which both changed.
func merge(path string, base, theirs, mine any) (merged any, conflicts []string) {
	switch {
	case reflect.DeepEqual(mine, base), reflect.DeepEqual(mine, theirs):
		return theirs, nil
	case reflect.DeepEqual(theirs, base):
		return mine, nil
	}
	base, theirs, mine = asLists(base, theirs, mine)
	t, pathFormat, okTheirs := members(theirs)
	m, _, okMine := members(mine)
	b, _, okBase := members(base)
	if !okTheirs || !okMine || !okBase {
		return theirs, []string{path}
	}
	result := make(object)
	for _, name := range union(b, t, m) {
		value, touched := merge(inner(path, pathFormat, name), b[name], t[name], m[name])
		conflicts = append(conflicts, touched...)
		if value != nil {
			result[name] = value
		}
	}
	if _, ok := theirs.(list); ok {
		return list{elements: result}, conflicts
	}
	return result, conflicts
}

// asLists puts an empty list in place of an absent one, if any of the values
// is a list.
func asLists(base, theirs, mine any) (_, _, _ any) {
	values := []any{base, theirs, mine}
	isList := func(v any) bool { _, ok := v.(list); return ok }
	if slices.ContainsFunc(values, isList) {
		for i := range values {
			if values[i] == nil {
				values[i] = list{}
			}
		}
	}
	return values[0], values[1], values[2]
}

func union(objects ...object) []string {
	names := make(map[string]bool)
	for _, o := range objects {
		for name := range o {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func inner(path, pathFormat, name string) string {
	if path == "" {
		return name
	}
	return fmt.Sprintf(pathFormat, path, name)
}

func format(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
