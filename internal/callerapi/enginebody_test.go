package callerapi

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/tokens"
)

// TestEngineRunsNoMoreThanIsReserved guards against fields that the router does not evaluate and an engine
// does, because they are repeated, escaped or differ in case.
func TestEngineRunsNoMoreThanIsReserved(t *testing.T) {
	const start = `{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":7`
	for _, fields := range []string{
		`"max_tokens":9,"max_tokens":7`, `"max_tokens":9,"max\u005ftokens":7`, `"Max_Tokens":99`, `"max_to` + "\u212a" + `ens":99`,
		`"MAX_COMPLETION_TOKENS":99`, `"max_completion_token` + "\u017f" + `":99`, `"max\u005fCompletion_tokens":99`,
		`"max_completion_tokens":9,"max_completion_tokens":7`, `"max_completion_tokens":7,"Max_completion_tokens":9`,
		`"N":5`, `"\u004e":5`, `"n":5,"n":1`, `"Tools":["x"]`, `"FUNCTIONS":["x"]`, `"Response_Format":{}`,
		`"Messages":[{"role":"user","content":"a"},{"role":"user","content":"b"}]`,
	} {
		p, refused := parsePrompt([]byte(start + "," + fields + "}"))
		require.Nil(t, refused, fields)
		chat, refused := p.newChat(caller{application: &configuration.Application{MaxOutput: 100}}, &configuration.Model{})
		require.Nil(t, refused, fields)
		require.EqualValues(t, 7, chat.MaxOutputTokens, fields)
		var exact map[string]any
		require.NoError(t, json.Unmarshal(chat.Body, &exact))
		var engine struct { // like package json, which does not distinguish upper and lower case
			Messages            []any
			MaxTokens           *int `json:"max_tokens"`
			MaxCompletionTokens *int `json:"max_completion_tokens"`
			N                   *int `json:"n"`
			Tools, Functions    []any
			ResponseFormat      map[string]any `json:"response_format"`
		}
		require.NoError(t, json.Unmarshal(chat.Body, &engine))
		assert.EqualValues(t, 7, exact["max_tokens"], fields)
		assert.NotContains(t, exact, "max_completion_tokens", fields)
		assert.Equal(t, 7, *engine.MaxTokens, fields)
		assert.Nil(t, engine.MaxCompletionTokens, "%s: %s", fields, chat.Body)
		assert.Len(t, engine.Messages, 1, fields)
		assert.True(t, engine.N == nil || *engine.N == 1, "%s: %s", fields, chat.Body)
		assert.Empty(t, engine.Tools, fields)
		assert.Empty(t, engine.Functions, fields)
		assert.Nil(t, engine.ResponseFormat, fields)
		for _, name := range fieldsRead {
			assert.LessOrEqual(t, strings.Count(string(chat.Body), `"`+name+`":`), 1, fields)
		}
	}
}

// TestBoundOfInvalidText guards against a prompt that takes more tokens than are reserved, because each
// of its invalid bytes becomes a character of three bytes.
func TestBoundOfInvalidText(t *testing.T) {
	invalid := strings.Repeat("\xff", 1000)
	for name, body := range map[string]string{
		"text":            `"messages":[{"role":"user","content":"` + invalid + `"}]`,
		"part":            `"messages":[{"role":"user","content":[{"type":"text","text":"` + invalid + `"}]}]`,
		"role":            `"messages":[{"role":"` + invalid + `","content":"a"}]`,
		"tools":           `"messages":[{"role":"user","content":"a"}],"tools":["` + invalid + `"]`,
		"functions":       `"messages":[{"role":"user","content":"a"}],"functions":["` + invalid + `"]`,
		"response format": `"messages":[{"role":"user","content":"a"}],"response_format":"` + invalid + `"`,
	} {
		p, refused := parsePrompt([]byte(`{"model":"m",` + body + "}"))
		require.Nil(t, refused, name)
		assert.GreaterOrEqual(t, p.promptBound, tokens.Count(len(invalid)*utf8.RuneLen(utf8.RuneError)), name)
	}
	p, refused := parsePrompt([]byte(`{"model":"m","messages":[{"role":"user","content":"é"}]}`))
	require.Nil(t, refused)
	assert.EqualValues(t, len(`[{"role":"user","content":"é"}]`)+int(messageOverhead), p.promptBound, "valid text")
}

// TestOneContentReachesTheEngine guards against parts that only text may have the place of, such as images,
// which reach an engine because the router reads another field as the content of the message.
func TestOneContentReachesTheEngine(t *testing.T) {
	const image = `[{"type":"image_url","image_url":{"url":"http://h/i"}}]`
	for _, fields := range []string{
		`"content":` + image + `,"Content":"a"`, `"content":` + image + `,"c\u006fntent":"a"`, `"Content":` + image + `,"content":"a"`,
		`"content":` + image + `,"CONTENT":[{"type":"text","text":"a"}]`, `"content":` + image + `,"content":"a"`,
	} {
		p, refused := parsePrompt([]byte(`{"model":"m","messages":[{"name":"n",` + fields + `,"role":"user"}]}`))
		require.Nil(t, refused, fields)
		chat, refused := p.newChat(caller{application: &configuration.Application{MaxOutput: 100}}, &configuration.Model{})
		require.Nil(t, refused, fields)
		var sent struct{ Messages json.RawMessage }
		require.NoError(t, json.Unmarshal(chat.Body, &sent))
		assert.JSONEq(t, `[{"name":"n","role":"user","content":"a"}]`, string(sent.Messages), fields)
		assert.NotContains(t, string(chat.Body), "image_url", fields)
	}
}
