package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// Unmarshal decodes data into target, a pointer to a struct, as json.Unmarshal does: fields that
// are unknown, absent or null are no problems. Unlike json.Unmarshal, it reports each value of the
// wrong type with its path, rather than the first one only. Reasons do not quote strings. The
// fields of target have to be of the kinds that Decode supports, or pointers to these.
func Unmarshal(data []byte, target any) Problems {
	err := json.Unmarshal(data, target)
	if err == nil {
		return nil
	}
	d := decoder{reported: make(map[string]bool)}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		read := data[:min(int(syntax.Offset), len(data))]
		d.report("", "is not JSON: line %d, column %d: %v", bytes.Count(read, []byte("\n"))+1, len(read)-bytes.LastIndexByte(read, '\n')-1, err)
		return d.problems
	}
	if root, parseErr := parse(data); parseErr == nil {
		d.checkTypes(reflect.TypeOf(target).Elem(), root, "")
	}
	if len(d.problems) == 0 {
		d.report("", "%v", err)
	}
	return d.problems
}

// checkTypes reports the values in n that encoding/json cannot decode into type t.
func (d *decoder) checkTypes(t reflect.Type, n node, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case n.kind == kindNull:
	case t.Kind() == reflect.Struct:
		if !d.expectKind(n, kindObject, path) {
			return
		}
		for _, m := range n.members {
			if f, ok := fieldByJSONName(t, m.name); ok {
				d.checkTypes(f.Type, m.value, join(path, m.name))
			}
		}
	case t.Kind() == reflect.Slice:
		if !d.expectKind(n, kindArray, path) {
			return
		}
		for i, element := range n.elements {
			d.checkTypes(t.Elem(), element, fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		d.decodeValue(reflect.New(t).Elem(), n, path)
	}
}

// fieldByJSONName returns the field that encoding/json decodes a member into.
func fieldByJSONName(t reflect.Type, name string) (found reflect.StructField, ok bool) {
	for _, f := range reflect.VisibleFields(t) {
		fieldName, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if fieldName == name {
			return f, true
		}
		if strings.EqualFold(fieldName, name) {
			found, ok = f, true
		}
	}
	return found, ok
}
