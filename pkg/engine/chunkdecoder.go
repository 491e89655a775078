package engine

import (
	"bytes"
	"unicode/utf8"
)

// textMark precedes the text in a chunk that a ChunkDecoder can take as a
// template.
const textMark = `"delta":{"content":"`

// ChunkDecoder decodes the chunks of one stream.
//
// Most chunks of a stream differ in their text alone. The decoder keeps what
// stands before and behind the text of a chunk that it has decoded in full; a
// chunk with the same bytes there, and a text without escapes between them, has
// the same fields but for the text. Any other chunk is decoded in full.
//
// The zero value is ready for use, by one goroutine at a time.
type ChunkDecoder struct {
	chunk          Chunk
	before, behind []byte // of the template; before is empty if there is none
}

// Decode decodes a chunk. The result is valid until the next call.
func (d *ChunkDecoder) Decode(data []byte) (*Chunk, error) {
	if text, ok := d.text(data); ok {
		d.chunk.Choices[0].Delta.Content = string(text)
		return &d.chunk, nil
	}
	d.before = d.before[:0]
	if err := DecodeChunk(data, &d.chunk); err != nil {
		return nil, err
	}
	d.learn(data)
	return &d.chunk, nil
}

// text returns the text of a chunk that fits the template.
func (d *ChunkDecoder) text(data []byte) (text []byte, ok bool) {
	if len(d.before) == 0 || len(data) < len(d.before)+len(d.behind) {
		return nil, false
	}
	if !bytes.HasPrefix(data, d.before) || !bytes.HasSuffix(data, d.behind) {
		return nil, false
	}
	text = data[len(d.before) : len(data)-len(d.behind)]
	return text, isPlain(text)
}

// learn makes the chunk just decoded the template, if it is clear which part of
// it is the text.
func (d *ChunkDecoder) learn(data []byte) {
	c := &d.chunk
	if len(c.Choices) != 1 {
		return
	}
	i := bytes.Index(data, []byte(textMark))
	if i < 0 {
		return
	}
	start := i + len(textMark)
	length := bytes.IndexByte(data[start:], '"')
	if length < 0 || !isPlain(data[start:start+length]) || string(data[start:start+length]) != c.Choices[0].Delta.Content {
		return
	}
	before, behind := data[:start], data[start+length:]
	if !isUnambiguous(before, behind) {
		return
	}
	d.before = append(d.before[:0], before...)
	d.behind = append(d.behind[:0], behind...)
}

// isUnambiguous reports whether the only text in a chunk is the one that stands
// between before and behind: no other key can be read as one of those that lead
// to it.
func isUnambiguous(before, behind []byte) bool {
	rest := append(bytes.ToLower(before), bytes.ToLower(behind)...)
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

// isPlain reports whether text stands for itself in a JSON string.
func isPlain(text []byte) bool {
	for _, b := range text {
		if b < ' ' || b == '"' || b == '\\' {
			return false
		}
	}
	return utf8.Valid(text)
}
