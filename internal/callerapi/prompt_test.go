package callerapi

import (
	"encoding/json"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/tokens"
)

// leaksGoTerms matches Go terms, which mean nothing to callers.
var leaksGoTerms = regexp.MustCompile(`Go |struct|\[\]|callerapi|int64|RawMessage|unmarshal`)

func TestBadPromptsAreRefusedByName(t *testing.T) {
	const head = `{"model":"m","messages":[{"role":"user","content":`
	tests := []struct{ body, want string }{
		{`[`, "body: not valid JSON"},
		{`[]`, "body: an array is not accepted"},
		{`{"model":7}`, "model: a number is not accepted"},
		{`{"model":"m","messages":"a"}`, "messages: a string is not accepted"},
		{`{"model":"m","messages":[1]}`, "messages: a number is not accepted"},
		{`{"model":"m","messages":[{"role":{}}]}`, "messages.role: an object is not accepted"},
		{`{"model":"m","stream":"yes"}`, "stream: a string is not accepted"},
		{`{"model":"m","stream_options":{"include_usage":1}}`, "stream_options.include_usage: a number is not accepted"},
		{`{"model":"m","max_tokens":1.5}`, "max_tokens: number 1.5 is not accepted"},
		{head + `7}]}`, "messages[0].content: a string or a list of text parts is required"},
		{head + `{"type":"text"}}]}`, "messages[0].content: a string or a list of text parts is required"},
		{head + `["a"]}]}`, "messages[0].content: a string is not accepted"},
		{head + `[{"type":"text","text":["a"]}]}]}`, "messages[0].content.text: an array is not accepted"},
		{head + `[{"type":"text","text":"a"},{"type":"image_url","image_url":{}}]}]}`, "messages[0].content[1].type: only text is supported"},
	}
	for _, tt := range tests {
		_, refused := parsePrompt([]byte(tt.body))
		if assert.NotNil(t, refused, tt.body) {
			assert.Contains(t, refused.Message, tt.want, tt.body)
			assert.NotRegexp(t, leaksGoTerms, refused.Message)
		}
	}
}

// TestTextPartsReachTheEngineAsText sends messages with text parts and with plain
// text. The other fields of the messages must be preserved.
func TestTextPartsReachTheEngineAsText(t *testing.T) {
	body := `{"model":"m","messages":[
		{"role":"user","name":"ann","content":[{"type":"text","text":"a"},{"type":"text","text":"b\""}]},
		{"role":"user","content":"c"},
		{"role":"assistant","content":null,"tool_calls":[]}]}`
	p, refused := parsePrompt([]byte(body))
	require.Nil(t, refused)
	chat, refused := p.newChat(caller{application: &configuration.Application{MaxOutput: 100}}, &configuration.Model{})
	require.Nil(t, refused)
	var sent struct{ Messages json.RawMessage }
	require.NoError(t, json.Unmarshal(chat.Body, &sent))
	assert.JSONEq(t, `[{"role":"user","name":"ann","content":"ab\""},{"role":"user","content":"c"},{"role":"assistant","content":null,"tool_calls":[]}]`, string(sent.Messages))
	assert.Equal(t, `ab"c`, chat.PromptText)
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"é"}]}],"n":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":null}],"max_completion_tokens":9}`))
	f.Add([]byte(`{"model":["m"],"messages":"a","stream":1,"stream_options":[],"n":"1"}`))
	f.Add([]byte(`{"model":"m","messages":[1]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":1,"content":[{"type":2}]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":{"text":"a"}}],"max_tokens":1.5}`))
	f.Add([]byte(`[`))
	c := caller{application: &configuration.Application{MaxOutput: 100}}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, refused := parsePrompt(body)
		if refused != nil {
			assert.True(t, refused.NotRun)
			assert.NotRegexp(t, leaksGoTerms, refused.Message)
			return
		}
		assert.GreaterOrEqual(t, p.promptBound, tokens.Count(len(p.text)), "the prompt is bounded by its bytes")
		chat, refused := p.newChat(c, &configuration.Model{})
		if refused != nil {
			return
		}
		again, refused := parsePrompt(chat.Body)
		require.Nil(t, refused, "what is sent to the engine is valid: %s", chat.Body)
		assert.Equal(t, chat.MaxOutputTokens, again.outputLimit)
		assert.Equal(t, p.text, again.text)
		var sent struct{ Messages []engine.Message }
		require.NoError(t, json.Unmarshal(chat.Body, &sent), "engines take text alone")
		assert.Equal(t, p.model, again.model)
	})
}
