package callerapi

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"example.org/lagoonfork/internal/jsonvalue"
)

// engineBody returns the body for the engine, with the output limit. The fields that the router does
// not read are sent as they are, without the space between them, unless an engine that does not
// distinguish upper and lower case would take them for those that it reads.
func (p *prompt) engineBody() []byte {
	const limitBytes = 64 // of the field with the output limit
	var b bytes.Buffer
	b.Grow(len(p.body) + limitBytes)
	b.WriteByte('{')
	for f := range p.body.Fields() {
		if !resemblesRead(f.Name) {
			writeField(&b, f)
		}
	}
	for _, name := range fieldsRead {
		value, ok := p.fields[name]
		switch {
		case !ok || name == "max_tokens" || name == "max_completion_tokens":
			continue
		case name == "messages":
			b.WriteString(`"messages":`)
			p.writeMessages(&b, value)
		default:
			b.WriteString(strconv.Quote(name) + ":")
			writeValue(&b, value)
		}
		b.WriteByte(',')
	}
	b.WriteString(`"max_tokens":` + strconv.FormatInt(int64(p.outputLimit), 10) + "}")
	return b.Bytes()
}

// resemblesRead reports whether a field has the name of one that the router evaluates, in upper or lower
// case.
func resemblesRead(name []byte) bool {
	return slices.ContainsFunc(fieldsRead, func(read string) bool { return bytes.EqualFold(name, []byte(read)) })
}

// writeMessages writes the messages. Lists of text parts are replaced by their joined text, since
// engines accept only strings, and repeated contents by the one that was read.
func (p *prompt) writeMessages(b *bytes.Buffer, list jsonvalue.Value) {
	b.WriteByte('[')
	i := 0
	for m := range list.Elements() {
		if i > 0 {
			b.WriteByte(',')
		}
		if p.rewritten[i] {
			writeMessage(b, m, p.messages[i])
		} else {
			writeValue(b, m)
		}
		i++
	}
	b.WriteByte(']')
}

// writeMessage writes a message with another content.
func writeMessage(b *bytes.Buffer, m jsonvalue.Value, content string) {
	b.WriteByte('{')
	for f := range m.Fields() {
		if !isContent(f.Name) {
			writeField(b, f)
		}
	}
	b.WriteString(`"content":`)
	writeString(b, content)
	b.WriteByte('}')
}

// writeField writes a field and a comma.
func writeField(b *bytes.Buffer, f jsonvalue.Field) {
	b.Write(f.RawName)
	b.WriteByte(':')
	writeValue(b, f.Value)
	b.WriteByte(',')
}

// writeValue writes a value without the space in it.
func writeValue(b *bytes.Buffer, v jsonvalue.Value) {
	_ = json.Compact(b, v) // fails only if the value is not valid
}

// writeString writes valid UTF-8 as JSON. Unlike package json, it does not escape characters that need
// not be, which would take more bytes than in the caller's body.
func writeString(b *bytes.Buffer, text string) {
	b.WriteByte('"')
	start := 0
	for i := 0; i < len(text); i++ {
		c := text[i]
		if c >= ' ' && c != '"' && c != '\\' {
			continue
		}
		b.WriteString(text[start:i])
		escaped, _ := json.Marshal(text[i : i+1]) // a string can be encoded
		b.Write(escaped[1 : len(escaped)-1])
		start = i + 1
	}
	b.WriteString(text[start:])
	b.WriteByte('"')
}
