// Package textkey encodes keys, which may hold any bytes, for a store whose keys are valid UTF-8.
//
// # Usage
//
//	text := textkey.Encode(key) // also of a prefix of keys
//	key := textkey.Decode(text)
package textkey

import (
	"strings"
	"unicode/utf8"
)

// A byte that is not part of valid UTF-8 is
// encoded as one rune of this range of the private use area. The bytes of runes
// within the range are encoded in the same way, so that decoding is unambiguous.
const firstByteRune, lastByteRune = 0xf700, 0xf7ff

// Encode returns the text of a key or of a prefix of keys.
func Encode(key string) string {
	if utf8.ValidString(key) && strings.IndexFunc(key, isByteRune) < 0 {
		return key
	}
	var b strings.Builder
	for i := 0; i < len(key); {
		r, n := utf8.DecodeRuneInString(key[i:])
		if r == utf8.RuneError && n == 1 || isByteRune(r) {
			for _, c := range []byte(key[i : i+n]) {
				b.WriteRune(firstByteRune + rune(c))
			}
		} else {
			b.WriteString(key[i : i+n])
		}
		i += n
	}
	return b.String()
}

// Decode is the inverse of Encode.
func Decode(text string) string {
	if strings.IndexFunc(text, isByteRune) < 0 {
		return text
	}
	var b []byte
	for _, r := range text {
		if isByteRune(r) {
			b = append(b, byte(r-firstByteRune))
			continue
		}
		b = utf8.AppendRune(b, r)
	}
	return string(b)
}

// isByteRune reports whether r encodes a single byte.
func isByteRune(r rune) bool { return r >= firstByteRune && r <= lastByteRune }
