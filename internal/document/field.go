package document

import (
	"encoding"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"

	"example.org/lagoonfork/pkg/ident"
)

// hashLength is the length of a SHA-256 digest in hexadecimal digits.
const hashLength = 64

// Field describes one field of a document on the reference page.
type Field struct {
	Path     string // with [] after the name of a list
	Type     string // string, number, bool or address
	Unit     string
	Bounds   string // such as "1 to 100" or "caution, availability"
	Default  string // "required" or "optional" without a default
	IsNested bool   // whether the field is an object or a list of objects
}

// Fields returns the fields of a struct and of the structs nested in it, in
// order of declaration.
func Fields(value any) []Field {
	return listFields(reflect.TypeOf(value), "")
}

func listFields(t reflect.Type, prefix string) (fields []Field) {
	for _, f := range fieldSetOf(t).ordered {
		fields = append(fields, f.describe(t.Field(f.index).Type, prefix)...)
	}
	return fields
}

func (f fieldSpec) describe(t reflect.Type, prefix string) []Field {
	path := join(prefix, f.name)
	if t.Kind() == reflect.Slice {
		t = t.Elem()
		path += "[]"
	}
	described := Field{Path: path, Type: typeName(t), Unit: f.unit, Bounds: f.bounds(), Default: f.defaultText()}
	if t.Kind() != reflect.Struct || isTextType(t) {
		return []Field{described}
	}
	described.IsNested = true
	if described.Default == "required" && !strings.HasSuffix(path, "[]") {
		described.Default = "optional" // an absent object decodes as an empty one
	}
	return append([]Field{described}, listFields(t, path)...)
}

func typeName(t reflect.Type) string {
	switch {
	case isTextType(t):
		return "address"
	case t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Bool:
		return "bool"
	case t.Kind() == reflect.Struct:
		return "object"
	}
	return "number"
}

// fieldSpec holds the parsed tags of a struct field.
type fieldSpec struct {
	index        int
	name         string
	optional     bool
	hasDefault   bool
	defaultValue string // valid if hasDefault is set
	low, high    string
	oneOf        []string
	format       string
	unit         string
}

// defaultText returns the default for the reference page, or "optional" or
// "required".
func (f fieldSpec) defaultText() string {
	switch {
	case f.hasDefault:
		return f.defaultValue
	case f.optional:
		return "optional"
	}
	return "required"
}

// bounds describes the permitted values, or returns "" if there is no limit.
func (f fieldSpec) bounds() string {
	switch {
	case len(f.oneOf) > 0:
		return strings.Join(f.oneOf, ", ")
	case f.format == "id":
		return "identifier"
	case f.format == "hash":
		return "SHA-256 in hexadecimal"
	case f.low != "" && f.high != "":
		return f.low + " to " + f.high
	case f.low != "":
		return "at least " + f.low
	case f.high != "":
		return "at most " + f.high
	}
	return ""
}

// defaultNode returns the default as a JSON value of kind k.
func (f fieldSpec) defaultNode(k reflect.Kind) node {
	switch k {
	case reflect.String:
		return node{kind: kindString, text: f.defaultValue}
	case reflect.Bool:
		return node{kind: kindBool, text: f.defaultValue}
	}
	return node{kind: kindNumber, text: f.defaultValue}
}

// fieldSet holds the fields of a struct type that have a JSON name.
type fieldSet struct {
	ordered []fieldSpec
	byName  map[string]fieldSpec
}

// fieldSets caches the field set of each struct type.
var fieldSets sync.Map

func fieldSetOf(t reflect.Type) *fieldSet {
	if known, ok := fieldSets.Load(t); ok {
		return known.(*fieldSet)
	}
	set := &fieldSet{byName: make(map[string]fieldSpec)}
	for i := range t.NumField() {
		f, ok := parseTags(t.Field(i))
		if !ok {
			continue
		}
		f.index = i
		set.ordered = append(set.ordered, f)
		set.byName[f.name] = f
	}
	fieldSets.Store(t, set)
	return set
}

// parseTags parses the tags of a struct field. ok is false if the field has no
// JSON name.
func parseTags(s reflect.StructField) (f fieldSpec, ok bool) {
	name, options, _ := strings.Cut(s.Tag.Get("json"), ",")
	if name == "" || name == "-" {
		return fieldSpec{}, false
	}
	f = fieldSpec{
		name:     name,
		optional: strings.Contains(options, "omitempty") || strings.Contains(options, "omitzero"),
		low:      s.Tag.Get("min"),
		high:     s.Tag.Get("max"),
		format:   s.Tag.Get("format"),
		unit:     s.Tag.Get("unit"),
	}
	f.defaultValue, f.hasDefault = s.Tag.Lookup("default")
	if values := s.Tag.Get("oneof"); values != "" {
		f.oneOf = strings.Split(values, "|")
	}
	return f, true
}

// isTextType reports whether values of t are decoded from a string by
// UnmarshalText.
func isTextType(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// check reports the values in v, a struct or slice, that are out of bounds.
func (d *decoder) check(v reflect.Value, path string) {
	switch {
	case isTextType(v.Type()):
	case v.Kind() == reflect.Struct:
		for _, f := range fieldSetOf(v.Type()).ordered {
			fieldPath := join(path, f.name)
			if d.reported[fieldPath] {
				continue
			}
			d.checkField(v.Field(f.index), f, fieldPath)
		}
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			elementPath := fmt.Sprintf("%s[%d]", path, i)
			if !d.reported[elementPath] {
				d.check(v.Index(i), elementPath)
			}
		}
	}
}

func (d *decoder) checkField(v reflect.Value, f fieldSpec, path string) {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		d.checkIntBounds(v.Int(), f, path, "")
	case reflect.Float64:
		d.checkFloatBounds(v.Float(), f, path)
	case reflect.String:
		d.checkString(v.String(), f, path)
	case reflect.Slice:
		d.checkIntBounds(int64(v.Len()), f, path, " entries")
		d.checkElements(v, f, path)
	default:
		d.check(v, path)
	}
}

// checkElements checks the elements of a list. Bounds apply to the length of the
// list, not to its strings; oneof and format apply to each string.
func (d *decoder) checkElements(v reflect.Value, f fieldSpec, path string) {
	if v.Type().Elem().Kind() != reflect.String {
		d.check(v, path)
		return
	}
	f.low, f.high = "", ""
	for i := range v.Len() {
		d.checkString(v.Index(i).String(), f, fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) checkString(s string, f fieldSpec, path string) {
	if s == "" && f.optional {
		return
	}
	switch {
	case len(f.oneOf) > 0:
		if !slices.Contains(f.oneOf, s) {
			d.report(path, "%q is none of %s", s, strings.Join(f.oneOf, ", "))
		}
	case f.format == "id":
		if !ident.Valid(s) {
			d.report(path, "%q is not an identifier of 1 to 128 letters, digits, dots, underscores and hyphens", s)
		}
	case f.format == "hash":
		if _, err := hex.DecodeString(s); err != nil || len(s) != hashLength || strings.ToLower(s) != s {
			d.report(path, "is not a SHA-256 of %d lower-case hexadecimal digits", hashLength)
		}
	default:
		d.checkIntBounds(int64(len(s)), f, path, " bytes")
	}
}

// checkFloatBounds reports a floating-point number that is out of bounds.
func (d *decoder) checkFloatBounds(x float64, f fieldSpec, path string) {
	if low, err := strconv.ParseFloat(f.low, 64); err == nil && x < low {
		d.report(path, "%v is below the least, %v", x, low)
	}
	if high, err := strconv.ParseFloat(f.high, 64); err == nil && x > high {
		d.report(path, "%v is above the greatest, %v", x, high)
	}
}

// checkIntBounds reports an integer or a length that is out of bounds. unit
// follows the number in the reason.
func (d *decoder) checkIntBounds(n int64, f fieldSpec, path, unit string) {
	if low, err := strconv.ParseInt(f.low, 10, 64); err == nil && n < low {
		d.report(path, "%d%s is below the least, %d", n, unit, low)
	}
	if high, err := strconv.ParseInt(f.high, 10, 64); err == nil && n > high {
		d.report(path, "%d%s is above the greatest, %d", n, unit, high)
	}
}
