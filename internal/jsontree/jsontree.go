// Package jsontree compares and merges JSON documents whose lists are sets.
//
// The elements of a list are compared by their keys rather than by their positions. Lists whose
// elements have no keys are compared as a whole.
//
// # Usage
//
//	before, err := jsontree.Of(held, elementKey)
//	after, err := jsontree.Of(wanted, elementKey)
//	for _, change := range before.Changes(after) {
//		fmt.Println(change)
//	}
package jsontree

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/ansel1/merry/v2"
)

// Tree is a JSON document.
type Tree struct{ root any }

// Key returns the key of an element of a list: an object as a map[string]any, or a string,
// json.Number, bool or nil. It returns false if elements of this kind have no keys.
type Key func(element any) (key string, ok bool)

// Of returns the JSON form of a value. If several elements of a list have the same key, a number
// is appended to the keys of all but the first.
func Of(value any, key Key) (t Tree, err error) {
	defer func() { err = merry.Prepend(err, "converting a document to a tree") }()
	data, err := json.Marshal(value)
	if err != nil {
		return t, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var plain any
	if err := d.Decode(&plain); err != nil {
		return t, err
	}
	return Tree{root: key.apply(plain)}, nil
}

// MarshalJSON implements json.Marshaler. Elements of lists are in the order of their keys.
func (t Tree) MarshalJSON() ([]byte, error) { return json.Marshal(unkeyElements(t.root)) }

// Change is a field or list element that differs between two documents.
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

// Changes returns the changes from t to after in order of field names and keys.
func (t Tree) Changes(after Tree) []Change { return diff("", t.root, after.root) }

// Merge returns theirs with the changes from base to mine, and the paths that both sides
// changed to different values.
func Merge(base, theirs, mine Tree) (merged Tree, conflicts []string) {
	merged.root, conflicts = merge("", base.root, theirs.root, mine.root)
	return merged, conflicts
}

// object is a JSON object, or the elements of a list by their keys.
type object map[string]any

// list is a list whose elements have keys.
type list struct{ elements object }

// apply converts decoded JSON: objects become type object, and lists whose elements all have keys
// become type list.
func (k Key) apply(value any) any {
	switch v := value.(type) {
	case map[string]any:
		o := make(object, len(v))
		for name, member := range v {
			o[name] = k.apply(member)
		}
		return o
	case []any:
		return k.applyToList(v)
	}
	return value
}

func (k Key) applyToList(elements []any) any {
	keyedElements := make(object, len(elements))
	repeated := make(map[string]int)
	for _, element := range elements {
		key, ok := k(element)
		if !ok {
			return elements
		}
		if _, taken := keyedElements[key]; taken {
			repeated[key]++
			key = fmt.Sprintf("%s#%d", key, repeated[key]+1)
		}
		keyedElements[key] = k.apply(element)
	}
	return list{elements: keyedElements}
}

// unkeyElements is the inverse of Key.apply.
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
		for _, key := range slices.Sorted(maps.Keys(v.elements)) {
			elements = append(elements, unkeyElements(v.elements[key]))
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
