// Package document decodes JSON documents that operators write by hand and
// reports all their problems at once.
//
// A field's JSON name, bounds and default are tags of the Go struct, so that
// the decoder, the checks and the reference page in docs agree:
//
//	json      name; omitempty marks the field as optional
//	default   value of an absent field, which makes it optional
//	min, max  bounds of a number, or of the length of a string or list
//	oneof     permitted strings, separated by |
//	format    "id" for an identifier, "hash" for a SHA-256 in hexadecimal
//	unit      unit of a number, for the reference page
//
// # Usage
//
//	var s Settings
//	problems := document.Decode(data, &s)
//	problems = problems.Add("peerAddress", "%v is not a loopback address", s.PeerAddress)
//	if err := problems.Err(); err != nil {
//		return err
//	}
package document

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Problem describes one invalid field of a document.
type Problem struct {
	Path   string `json:"path"` // such as customers[2].weight; empty for the whole document
	Reason string `json:"reason"`
}

// String returns the path and the reason.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Reason
	}
	return p.Path + ": " + p.Reason
}

// Problems is the error of a document with invalid fields.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Add returns p with a problem appended, or p itself if path has one already.
func (p Problems) Add(path, format string, args ...any) Problems {
	for _, known := range p {
		if known.Path == path {
			return p
		}
	}
	return append(p, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Decode fills target, a pointer to a struct, from data and sets defaults. It
// reports unknown, duplicate and missing fields, null, and values out of
// bounds. Fields without a problem are set even if others have one. Reasons do
// not quote strings, which may be secret, except for those of a field with
// oneof or format "id".
func Decode(data []byte, target any) Problems {
	root, err := parse(data)
	if err != nil {
		return Problems{{Reason: err.Error()}}
	}
	d := decoder{reported: make(map[string]bool)}
	v := reflect.ValueOf(target).Elem()
	d.decodeValue(v, root, "")
	d.check(v, "")
	return d.problems
}

// Check reports the values of a struct that are out of bounds.
func Check(value any) Problems {
	d := decoder{reported: make(map[string]bool)}
	d.check(reflect.ValueOf(value), "")
	return d.problems
}

// decoder sets struct fields from nodes and collects the problems.
type decoder struct {
	problems Problems
	reported map[string]bool // paths with a problem or without a value, which are not checked
}

// report adds a problem unless path has one already.
func (d *decoder) report(path, format string, args ...any) {
	if d.reported[path] {
		return
	}
	d.reported[path] = true
	d.problems = append(d.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// decodeValue sets v from n.
func (d *decoder) decodeValue(v reflect.Value, n node, path string) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(u, n, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, n, path)
	case reflect.Slice:
		d.decodeSlice(v, n, path)
	case reflect.String:
		if d.expectKind(n, kindString, path) {
			v.SetString(n.text)
		}
	case reflect.Bool:
		if d.expectKind(n, kindBool, path) {
			v.SetBool(n.text == "true")
		}
	case reflect.Int, reflect.Int64:
		d.decodeInt(v, n, path)
	case reflect.Float64:
		d.decodeFloat(v, n, path)
	default:
		panic(fmt.Sprintf("document: field %s has the unsupported kind %s", path, v.Kind()))
	}
}

// expectKind reports whether n is of the kind wanted, and adds a problem if not.
func (d *decoder) expectKind(n node, want kind, path string) bool {
	if n.kind == want {
		return true
	}
	d.report(path, "is %s, not %s", n.kind, want)
	return false
}

func (d *decoder) decodeText(u encoding.TextUnmarshaler, n node, path string) {
	if !d.expectKind(n, kindString, path) {
		return
	}
	if err := u.UnmarshalText([]byte(n.text)); err != nil {
		d.report(path, "%v", err)
	}
}

func (d *decoder) decodeInt(v reflect.Value, n node, path string) {
	if !d.expectKind(n, kindNumber, path) {
		return
	}
	i, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil {
		d.report(path, "%s is not a whole number of 64 bits", n.text)
		return
	}
	v.SetInt(i)
}

func (d *decoder) decodeFloat(v reflect.Value, n node, path string) {
	if !d.expectKind(n, kindNumber, path) {
		return
	}
	x, err := strconv.ParseFloat(n.text, 64)
	if err != nil {
		d.report(path, "%s is not a number of 64 bits", n.text)
		return
	}
	v.SetFloat(x)
}

func (d *decoder) decodeSlice(v reflect.Value, n node, path string) {
	if !d.expectKind(n, kindArray, path) {
		return
	}
	if len(n.elements) == 0 {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements)))
	for i, element := range n.elements {
		d.decodeValue(v.Index(i), element, fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeStruct(v reflect.Value, n node, path string) {
	if !d.expectKind(n, kindObject, path) {
		return
	}
	seen := make(map[string]bool, len(n.members))
	fields := fieldSetOf(v.Type())
	for _, m := range n.members {
		fieldPath := join(path, m.name)
		f, ok := fields.byName[m.name]
		switch {
		case !ok:
			d.report(fieldPath, "is not a known field")
		case seen[m.name]:
			d.report(fieldPath, "occurs twice")
		default:
			d.decodeValue(v.Field(f.index), m.value, fieldPath)
		}
		seen[m.name] = true
	}
	for _, f := range fields.ordered {
		if !seen[f.name] {
			d.decodeAbsent(v.Field(f.index), f, join(path, f.name))
		}
	}
}

// decodeAbsent handles a field that the document does not contain. It sets the
// default, treats a required object as empty, reports a required value, and
// excludes an optional field from the checks.
func (d *decoder) decodeAbsent(v reflect.Value, f fieldSpec, path string) {
	switch {
	case f.hasDefault:
		d.decodeValue(v, f.defaultNode(v.Kind()), path)
	case v.Kind() == reflect.Struct && !f.optional && !isTextType(v.Type()):
		d.decodeStruct(v, node{kind: kindObject}, path)
	case !f.optional:
		d.report(path, "is missing")
	default:
		d.reported[path] = true
	}
}

// join appends a field name to a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
