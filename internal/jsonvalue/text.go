package jsonvalue

import (
	"slices"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// codePointBytes is the length of an escape such as \u00e9.
const codePointBytes = 6

// AppendText appends the text of a string to b. Like package json, it replaces bytes that are not valid
// UTF-8 and surrogates without their pair by U+FFFD. It appends nothing if the value is not a string.
func (v Value) AppendText(b []byte) []byte {
	if !v.IsString() {
		return b
	}
	rest := v[1 : len(v)-1]
	b = slices.Grow(b, len(rest))
	for len(rest) > 0 {
		n := rest.plain()
		b = append(b, rest[:n]...)
		rest = rest[n:]
		switch {
		case len(rest) == 0:
		case rest[0] != '\\': // not valid UTF-8
			b = utf8.AppendRune(b, utf8.RuneError)
			rest = rest[1:]
		case rest[1] == 'u':
			r, size := rest.codePoint()
			b = utf8.AppendRune(b, r)
			rest = rest[size:]
		default:
			b = append(b, unescape(rest[1]))
			rest = rest[2:]
		}
	}
	return b
}

// plain returns the length of the text with which v begins that is valid and has no escape.
func (v Value) plain() (n int) {
	for n < len(v) && v[n] != '\\' {
		size := 1
		if v[n] >= utf8.RuneSelf {
			var r rune
			if r, size = utf8.DecodeRune(v[n:]); r == utf8.RuneError && size == 1 {
				return n
			}
		}
		n += size
	}
	return n
}

// codePoint returns the character of the escape, or of the two surrogates, with which v begins, and
// their length.
func (v Value) codePoint() (r rune, size int) {
	r = v.escapedUnit()
	if !utf16.IsSurrogate(r) {
		return r, codePointBytes
	}
	if rest := v[codePointBytes:]; len(rest) >= codePointBytes && rest[0] == '\\' && rest[1] == 'u' {
		if r = utf16.DecodeRune(r, rest.escapedUnit()); r != utf8.RuneError {
			return r, 2 * codePointBytes
		}
	}
	return utf8.RuneError, codePointBytes
}

// escapedUnit returns the UTF-16 code unit of the escape with which v begins.
func (v Value) escapedUnit() rune {
	const bits = 16
	n, _ := strconv.ParseUint(string(v[2:codePointBytes]), 16, bits) // valid JSON has four hexadecimal digits
	return rune(n)
}

// unescape returns the character that a letter after a backslash stands for.
func unescape(c byte) byte {
	switch c {
	case 'b':
		return '\b'
	case 'f':
		return '\f'
	case 'n':
		return '\n'
	case 'r':
		return '\r'
	case 't':
		return '\t'
	}
	return c
}
