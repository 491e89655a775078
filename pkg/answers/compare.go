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

// Change is a field or list element that differs between two sets of answers.
type Change struct {
	Path   string `json:"path"` // such as customers[urad].budgets[main].prepaid
	Before any    `json:"before,omitempty"`
	After  any    `json:"after,omitempty"`
}

// String returns the path with the value before and after the change.
func (c Change) String() string {
	switch {
	case c.Before == nil:
		return fmt.Sprintf("+ %s: %s", c.Path, formatJSON(c.After))
	case c.After == nil:
		return fmt.Sprintf("- %s: %s", c.Path, formatJSON(c.Before))
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, formatJSON(c.Before), formatJSON(c.After))
}

// Comparison is the result of a three-way comparison.
type Comparison struct {
	Theirs []Change `json:"theirs"` // from the base to theirs
	Mine   []Change `json:"mine"`   // from the base to mine
	// Conflicts lists the paths that both sides changed to different values.
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

// Difference returns the changes from before to after in order of field and element
// names. Elements are compared by identifier, not by position. Revisions are ignored.
func Difference(before, after Answers) []Change {
	return diff("", treeOf(before), treeOf(after))
}

// Compare compares two sets of answers with the base that both derive from.
func Compare(base, theirs, mine Answers) Comparison {
	root := treeOf(base)
	t, m := treeOf(theirs), treeOf(mine)
	_, conflicts := merge("", root, t, m)
	return Comparison{Theirs: diff("", root, t), Mine: diff("", root, m), Conflicts: conflicts}
}

// Merge returns theirs with the changes from base to mine. Its revision is
// that of theirs. It fails if both sides changed the same field to different
// values, with the conflicts in the error, or if the merged answers are invalid.
func Merge(base, theirs, mine Answers) (merged Answers, err error) {
	defer func() { err = merry.Prepend(err, "merging answers") }()
	tree, conflicts := merge("", treeOf(base), treeOf(theirs), treeOf(mine))
	if len(conflicts) > 0 {
		return Answers{}, merry.Errorf("both sides changed %s", strings.Join(conflicts, ", "))
	}
	data, err := json.Marshal(unkeyElements(tree))
	if err != nil {
		return Answers{}, err
	}
	if merged, err = Decode(data); err != nil {
		return Answers{}, err
	}
	merged.Revision = theirs.Revision
	return merged, nil
}

// object is a JSON object, or the elements of a list by their keys.
type object map[string]any

// list is a list of objects, keyed by elementKey.
type list struct{ elements object }

// treeOf returns the JSON form of a, without its revision, with the elements of
// lists of objects keyed.
func treeOf(a Answers) any {
	a.Revision = 0
	data, err := json.Marshal(Canonical(a))
	if err != nil {
		panic(err) // every field of Answers can be marshalled
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		panic(err)
	}
	return keyElements(tree)
}

// keyElements converts decoded JSON: objects become type object and lists of objects
// become type list.
func keyElements(value any) any {
	switch v := value.(type) {
	case map[string]any:
		o := make(object, len(v))
		for name, member := range v {
			o[name] = keyElements(member)
		}
		return o
	case []any:
		return keyList(v)
	}
	return value
}

func keyList(elements []any) any {
	keyedElements := make(object, len(elements))
	for _, element := range elements {
		o, ok := keyElements(element).(object)
		if !ok {
			return elements // a list of identifiers is compared as a whole
		}
		keyedElements[elementKey(o)] = o
	}
	return list{elements: keyedElements}
}

// elementKey returns the key of a list element: its identifier, or the method and
// path prefix of a call.
func elementKey(o object) string {
	if id, ok := o["id"].(string); ok {
		return id
	}
	return fmt.Sprint(o["method"], " ", o["pathPrefix"])
}

// unkeyElements is the inverse of keyElements.
func unkeyElements(value any) any {
	switch v := value.(type) {
	case object:
		o := make(map[string]any, len(v))
		for name, member := range v {
			o[name] = unkeyElements(member)
		}
		return o
	case list:
		elements := make([]any, 0, len(v.elements))
		for _, id := range slices.Sorted(maps.Keys(v.elements)) {
			elements = append(elements, unkeyElements(v.elements[id]))
		}
		return elements
	}
	return value
}

// members returns the members of an object or list and the format of the paths of
// its members. It returns false for any other value.
func members(value any) (o object, pathFormat string, ok bool) {
	switch v := value.(type) {
	case object:
		return v, "%s.%s", true
	case list:
		return v.elements, "%s[%s]", true
	}
	return nil, "", false
}

// diff returns the changes between the values before and after at path.
func diff(path string, before, after any) (found []Change) {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	b, pathFormat, okBefore := members(before)
	a, _, okAfter := members(after)
	if !okBefore || !okAfter {
		return []Change{{Path: path, Before: unkeyElements(before), After: unkeyElements(after)}}
	}
	for _, name := range union(b, a) {
		found = append(found, diff(memberPath(path, pathFormat, name), b[name], a[name])...)
	}
	return found
}

// merge returns theirs with the changes from base to mine, and the paths
// that both sides changed to different values.
func merge(path string, base, theirs, mine any) (merged any, conflicts []string) {
	switch {
	case reflect.DeepEqual(mine, base), reflect.DeepEqual(mine, theirs):
		return theirs, nil
	case reflect.DeepEqual(theirs, base):
		return mine, nil
	}
	base, theirs, mine = replaceAbsentLists(base, theirs, mine)
	t, pathFormat, okTheirs := members(theirs)
	m, _, okMine := members(mine)
	b, _, okBase := members(base)
	if !okTheirs || !okMine || !okBase {
		return theirs, []string{path}
	}
	result := make(object)
	for _, name := range union(b, t, m) {
		value, memberConflicts := merge(memberPath(path, pathFormat, name), b[name], t[name], m[name])
		conflicts = append(conflicts, memberConflicts...)
		if value != nil {
			result[name] = value
		}
	}
	if _, ok := theirs.(list); ok {
		return list{elements: result}, conflicts
	}
	return result, conflicts
}

// replaceAbsentLists replaces absent values by empty lists if any of the values is
// a list, so that additions to an empty list can be merged.
func replaceAbsentLists(base, theirs, mine any) (_, _, _ any) {
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

func memberPath(path, pathFormat, name string) string {
	if path == "" {
		return name
	}
	return fmt.Sprintf(pathFormat, path, name)
}

func formatJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}
