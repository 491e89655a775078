package engine

import (
	"bytes"
	"unicode/utf8"
)

// contentMarker precedes the text in a chunk that can serve as a template.
const contentMarker = `"delta":{"content":"`

// ChunkDecoder decodes the chunks of one stream.
//
// Most chunks of a stream differ only in their text. The decoder uses the last
// chunk that was decoded in full as a template: it keeps the bytes before and
// after the text. A chunk with the same bytes there, and between them a text
// without escapes, differs from the template in its text only, so that it needs
// no JSON decoding. Any other chunk is decoded in full.
//
// The zero value is ready to use. A ChunkDecoder must not be used by more than
// one goroutine at a time.
type ChunkDecoder struct {
	chunk          Chunk
	prefix, suffix []byte // bytes of the template around the text; prefix is empty if there is none
}

// Decode decodes a chunk. The result is valid until the next call.
func (d *ChunkDecoder) Decode(data []byte) (*Chunk, error) {
	if text, ok := d.extractText(data); ok {
		d.chunk.Choices[0].Delta.Content = string(text)
		return &d.chunk, nil
	}
	d.prefix = d.prefix[:0]
	if err := DecodeChunk(data, &d.chunk); err != nil {
		return nil, err
	}
	d.setTemplate(data)
	return &d.chunk, nil
}

// extractText returns the text of a chunk that matches the template.
func (d *ChunkDecoder) extractText(data []byte) (text []byte, ok bool) {
	if len(d.prefix) == 0 || len(data) < len(d.prefix)+len(d.suffix) {
		return nil, false
	}
	if !bytes.HasPrefix(data, d.prefix) || !bytes.HasSuffix(data, d.suffix) {
		return nil, false
	}
	text = data[len(d.prefix) : len(data)-len(d.suffix)]
	return text, isUnescaped(text)
}

// setTemplate makes the chunk just decoded the template, provided that its text
// can be located without ambiguity.
func (d *ChunkDecoder) setTemplate(data []byte) {
	c := &d.chunk
	if len(c.Choices) != 1 {
		return
	}
	i := bytes.Index(data, []byte(contentMarker))
	if i < 0 {
		return
	}
	start := i + len(contentMarker)
	length := bytes.IndexByte(data[start:], '"')
	if length < 0 || !isUnescaped(data[start:start+length]) || string(data[start:start+length]) != c.Choices[0].Delta.Content {
		return
	}
	prefix, suffix := data[:start], data[start+length:]
	if !isUnambiguous(prefix, suffix) {
		return
	}
	d.prefix = append(d.prefix[:0], prefix...)
	d.suffix = append(d.suffix[:0], suffix...)
}

// isUnambiguous reports whether the text between prefix and suffix is the only
// text in the chunk: none of the keys that lead to it occurs a second time. It
// ignores case, as package json does, and rejects escapes and non-ASCII bytes,
// which could spell such a key in another way.
func isUnambiguous(prefix, suffix []byte) bool {
	rest := append(bytes.ToLower(prefix), bytes.ToLower(suffix)...)
	for _, b := range rest {
		if b == '\\' || b >= utf8.RuneSelf {
			return false
		}
	}
	for _, key := range []string{"choices", "delta", "content"} {
		if bytes.Count(rest, []byte(key)) != 1 {
			return false
		}
	}
	return true
}

// isUnescaped reports whether text is valid in a JSON string and decodes to
// itself.
func isUnescaped(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
