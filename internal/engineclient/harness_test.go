package engineclient_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const silenceLimit = 250 * time.Millisecond

// harness connects a client to one fake engine.
type harness struct {
	engine       *fake.Engine
	client       *engineclient.Client
	upstream     configuration.Upstream
	log          *bytes.Buffer
	silenceLimit atomic.Int64 // as a time.Duration
}

func newHarness(t testing.TB, s fake.Settings) *harness {
	t.Helper()
	if s.HeartbeatInterval == 0 {
		s.HeartbeatInterval = silenceLimit / 6
	}
	e, err := fake.New(s)
	require.NoError(t, err)
	b := &harness{engine: e, upstream: configuration.Upstream{ID: "e1", Address: e.Address()}, log: new(bytes.Buffer)}
	b.silenceLimit.Store(int64(silenceLimit))
	b.client = engineclient.New(engineclient.Settings{
		SilenceLimit: func() time.Duration { return time.Duration(b.silenceLimit.Load()) },
		Log:          hclog.New(&hclog.LoggerOptions{Output: b.log}),
	})
	t.Cleanup(func() {
		assert.NoError(t, b.client.Close())
		assert.NoError(t, e.Close())
	})
	return b
}

func contextWithTimeout(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 2*silenceLimit)
}

func chatBody(prompt string, maxTokens int) []byte {
	body, _ := json.Marshal(struct {
		Model     string           `json:"model"`
		Messages  []engine.Message `json:"messages"`
		MaxTokens int              `json:"max_tokens"`
	}{"m", []engine.Message{{Role: "user", Content: prompt}}, maxTokens})
	return body
}

func newRun(name, prompt string, maxTokens int) engineclient.Run {
	return engineclient.Run{
		Request:   ident.Request("r-" + name),
		Attempt:   ident.Attempt("a-" + name),
		Model:     "m",
		Body:      chatBody(prompt, maxTokens),
		MaxOutput: tokens.Count(maxTokens),
	}
}

// answer holds what was read from a stream.
type answer struct {
	text    string
	indexes []int
	finish  string
	usage   *engine.Usage
	err     error // nil for a complete answer
}

func readAnswer(t testing.TB, s *engineclient.Stream) (a answer) {
	t.Helper()
	for {
		e, err := s.Next(t.Context())
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
		a.text += e.Text
		if e.Index > 0 {
			a.indexes = append(a.indexes, e.Index)
		}
		if e.FinishReason != "" {
			a.finish = e.FinishReason
		}
		if e.Usage != nil {
			a.usage = e.Usage
		}
	}
}

func (b *harness) run(t testing.TB, run engineclient.Run) answer {
	t.Helper()
	s, err := b.client.Start(t.Context(), b.upstream, run)
	if err != nil {
		return answer{err: err}
	}
	defer func() { assert.NoError(t, s.Close()) }()
	return readAnswer(t, s)
}

func assertComplete(t testing.TB, a answer, prompt string, maxTokens int) {
	t.Helper()
	require.NoError(t, a.err)
	assert.Equal(t, fake.ExpectedAnswer(prompt, maxTokens), a.text)
	for i, index := range a.indexes {
		require.Equal(t, i+1, index)
	}
	require.NotNil(t, a.usage)
	assert.EqualValues(t, len(a.indexes), a.usage.CompletionTokens)
}
