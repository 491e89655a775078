// Package jsonvalue walks JSON without decoding it, so that very many fields or elements take no
// memory beside their bytes.
//
// # Usage
//
//	if !json.Valid(data) {
//		// refuse it
//	}
//	for field := range jsonvalue.Of(data).Fields() {
//		if string(field.Name) == "messages" {
//			for element := range field.Value.Elements() {
//				...
//			}
//		}
//	}
package jsonvalue

import (
	"bytes"
	"iter"
)

const space = " \t\r\n"

// Value is a valid JSON value without space around it. The methods of any other may panic.
type Value []byte

// Field is a field of an object.
type Field struct {
	Name    []byte // without escapes
	RawName Value  // as it is in the object, a string
	Value   Value
}

// Of returns the value that valid JSON holds.
func Of(data []byte) Value { return bytes.Trim(data, space) }

// IsObject reports whether the value is an object.
func (v Value) IsObject() bool { return len(v) > 0 && v[0] == '{' }

// IsString reports whether the value is a string.
func (v Value) IsString() bool { return len(v) > 0 && v[0] == '"' }

// IsList reports whether the value is a list.
func (v Value) IsList() bool { return len(v) > 0 && v[0] == '[' }

// Fields returns the fields of an object in their order, repeated ones included. Other values have
// none.
func (v Value) Fields() iter.Seq[Field] {
	return func(yield func(Field) bool) {
		if !v.IsObject() {
			return
		}
		for at := v.skip(1); v[at] != '}'; {
			nameEnd := at + v[at:].first()
			value := v.skip(v.skip(nameEnd) + len(":"))
			end := value + v[value:].first()
			if !yield(Field{Name: decodeName(v[at:nameEnd]), RawName: v[at:nameEnd], Value: v[value:end]}) {
				return
			}
			at = v.next(end)
		}
	}
}

// Elements returns the elements of a list in their order. Other values have none.
func (v Value) Elements() iter.Seq[Value] {
	return func(yield func(Value) bool) {
		if !v.IsList() {
			return
		}
		for at := v.skip(1); v[at] != ']'; {
			end := at + v[at:].first()
			if !yield(v[at:end]) {
				return
			}
			at = v.next(end)
		}
	}
}

// next returns the index of the next field or element, or of the end of the object or list, after
// the one that ends at the given index.
func (v Value) next(end int) int {
	end = v.skip(end)
	if v[end] == ',' {
		return v.skip(end + 1)
	}
	return end
}

// skip returns the index of the first byte from the given one on that is not space.
func (v Value) skip(at int) int {
	for v[at] == ' ' || v[at] == '\t' || v[at] == '\r' || v[at] == '\n' {
		at++
	}
	return at
}

// first returns the length of the value with which v begins.
func (v Value) first() int {
	switch v[0] {
	case '"':
		return v.firstString()
	case '{', '[':
	default:
		if n := bytes.IndexAny(v, ",]}"+space); n >= 0 {
			return n
		}
		return len(v)
	}
	depth := 0
	for at := 0; ; at++ {
		switch v[at] {
		case '"':
			at += v[at:].firstString() - 1
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return at + 1
			}
		}
	}
}

// firstString returns the length of the string with which v begins.
func (v Value) firstString() int {
	for at := 1; ; at++ {
		switch v[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
}

// decodeName returns the text of the name of a field.
func decodeName(name Value) []byte {
	if bytes.IndexByte(name, '\\') < 0 {
		return name[1 : len(name)-1]
	}
	return name.AppendText(nil)
}
