package callerapi

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/tokens"
)

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"é"}]}],"n":1}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":null}],"max_completion_tokens":9}`))
	c := caller{application: &configuration.Application{MaxOutput: 100}}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, refused := parsePrompt(body)
		if refused != nil {
			assert.True(t, refused.NotRun)
			return
		}
		assert.GreaterOrEqual(t, p.bound, tokens.Count(len(p.text)), "the prompt is bounded by its bytes")
		chat, refused := p.chat(c, &configuration.Model{})
		if refused != nil {
			return
		}
		again, refused := parsePrompt(chat.Body)
		require.Nil(t, refused, "what is sent to the engine is valid: %s", chat.Body)
		assert.Equal(t, chat.Output, again.output)
		assert.Equal(t, p.text, again.text)
		assert.Equal(t, p.model, again.model)
	})
}
