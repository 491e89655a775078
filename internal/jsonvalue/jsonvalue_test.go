package jsonvalue

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFieldsAndElements(t *testing.T) {
	v := Of([]byte(" {\"a\" : [1 ,{\"b\":\"}\\\"]\"} , [ ] ,null], \"m\\u0065\":{},\"a\":-1.5e3\n} "))
	var fields, elements []string
	for f := range v.Fields() {
		fields = append(fields, string(f.Name)+"="+string(f.Value)+"="+string(f.RawName))
		for e := range f.Value.Elements() {
			elements = append(elements, string(e))
		}
	}
	assert.Equal(t, []string{
		`a=[1 ,{"b":"}\"]"} , [ ] ,null]="a"`,
		`me={}="m\u0065"`,
		`a=-1.5e3="a"`,
	}, fields)
	assert.Equal(t, []string{"1", `{"b":"}\"]"}`, "[ ]", "null"}, elements)
}

// FuzzValue guards against a walk that panics, or that sees other fields, elements or texts than package
// json does.
func FuzzValue(f *testing.F) {
	for _, text := range []string{`{}`, `[]`, ` { "a" : 1 , "a":"\\\"" } `, `[[],{"a":[]},"]",1 , 2]`, `1`, `"\u00e9\uD83d\uDe00\ud83d\ud83d\ude00\ude00\"\b\f\n\r\t\/\\"`, "\"é\xe2\x80\"", "{\"\xff\":\"\xff\"}"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if !json.Valid(data) {
			return
		}
		v := Of(data)
		var fields map[string]json.RawMessage
		if json.Unmarshal(v, &fields) == nil && v.IsObject() {
			seen := make(map[string]json.RawMessage)
			for field := range v.Fields() {
				name := string([]rune(string(field.Name))) // invalid bytes are replaced
				seen[name] = json.RawMessage(field.Value)
			}
			assert.Equal(t, fields, seen)
		}
		var text string
		if json.Unmarshal(v, &text) == nil && v.IsString() {
			assert.Equal(t, text, string(v.AppendText(nil)))
		}
		var elements []json.RawMessage
		if json.Unmarshal(v, &elements) == nil && v.IsList() {
			seen := []json.RawMessage{}
			for e := range v.Elements() {
				seen = append(seen, json.RawMessage(e))
			}
			assert.Equal(t, elements, seen)
		}
	})
}
