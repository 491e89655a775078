package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDecodersRefuse(t *testing.T) {
	chunk := func(s string) error {
		var c Chunk
		return DecodeChunk([]byte(s), &c)
	}
	load := func(s string) error { _, err := DecodeLoad(strings.NewReader(s)); return err }
	events := func(s string) error { _, err := DecodeCacheEvents(strings.NewReader(s)); return err }
	order := func(s string) error { _, err := DecodeOrder(strings.NewReader(s)); return err }
	entry := func(s string) error { _, err := DecodeCacheEntry(strings.NewReader(s)); return err }
	tests := []struct {
		name   string
		decode func(string) error
		good   string
		bad    []string
	}{
		{"chunk", chunk, `{"id":"a","usage":{"prompt_tokens":2,"completion_tokens":1,"total_tokens":3}}`, []string{
			``, `[]`, `{"id":1}`, `{"id":"a"} x`,
			`{"usage":{"prompt_tokens":-1,"completion_tokens":1,"total_tokens":0}}`,
			`{"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":3}}`,
			`{"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2,"prompt_tokens_details":{"cached_tokens":2}}}`,
			`{"usage":{"prompt_tokens":9223372036854775807,"completion_tokens":9223372036854775807,"total_tokens":-2}}`,
		}},
		{"load", load, `{"slots":1}`, []string{`{"slots":-1}`, `{"queuedTokens":-1}`, `{"slots":1}{}`, `{"slots":1e99}`}},
		{"cache events", events, `{"events":[{"sequence":1,"kind":"stored","key":"k","tokens":1},{"sequence":3,"kind":"evicted","key":"k","tokens":1}]}`, []string{
			`{"events":[{"sequence":0,"kind":"stored"}]}`,
			`{"events":[{"sequence":2,"kind":"stored"},{"sequence":2,"kind":"stored"}]}`,
			`{"events":[{"sequence":1,"kind":"x"}]}`,
			`{"events":[{"sequence":1,"kind":"stored","tokens":-1}]}`,
		}},
		{"order", order, `{"fencingNumber":1,"kind":"unloadModel","model":"m"}`, []string{
			`{"fencingNumber":-1,"kind":"unloadModel","model":"m"}`, `{"kind":"unloadModel"}`, `{"kind":"changeRole"}`, `{}`,
		}},
		{"cache entry", entry, `{"key":"k","tokens":1,"data":""}`, []string{`{}`, `{"key":"k","tokens":-1}`, `{"key":"k","data":"*"}`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.NoError(t, test.decode(test.good))
			for _, bad := range test.bad {
				require.ErrorIs(t, test.decode(bad), ErrMalformed, bad)
			}
		})
	}
}

// TestDecodeChunkKeepsNothing checks that fields of a previous chunk do not
// survive when a chunk is decoded into the same memory.
func TestDecodeChunkKeepsNothing(t *testing.T) {
	var c Chunk
	require.NoError(t, DecodeChunk([]byte(`{"id":"a","choices":[{"delta":{"content":"x"},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}`), &c))
	require.NoError(t, DecodeChunk([]byte(`{"choices":[{"index":0}]}`), &c))
	assert.Equal(t, Chunk{Choices: []ChunkChoice{{}}}, c)
}

// fuzzRoundTrip checks that a value that decodes successfully is unchanged
// after encoding and decoding it again.
func fuzzRoundTrip[T any](f *testing.F, decode func(io.Reader) (T, error), seeds ...string) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		value, err := decode(bytes.NewReader(in))
		if err != nil {
			return
		}
		out, err := json.Marshal(value)
		require.NoError(t, err)
		again, err := decode(bytes.NewReader(out))
		require.NoError(t, err)
		second, err := json.Marshal(again)
		require.NoError(t, err)
		assert.Equal(t, string(out), string(second))
	})
}

func FuzzDecodeChunk(f *testing.F) {
	fuzzRoundTrip(f, func(r io.Reader) (c Chunk, err error) {
		data, err := io.ReadAll(r)
		if err != nil {
			return Chunk{}, err
		}
		c.Choices = make([]ChunkChoice, 0, 4)
		return c, DecodeChunk(data, &c)
	}, `{"id":"a","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":"stop"}]}`,
		`{"id":"a","usage":{"prompt_tokens":1,"completion_tokens":2,"total_tokens":3}}`)
}

func FuzzDecodeLoad(f *testing.F) {
	fuzzRoundTrip(f, DecodeLoad, `{"slots":4,"running":1,"loadedModels":[{"model":"m"}],"asOf":"2026-01-01T00:00:00Z"}`)
}

func FuzzDecodeCacheEvents(f *testing.F) {
	events := func(r io.Reader) (CacheEvents, error) {
		list, err := DecodeCacheEvents(r)
		return CacheEvents{Events: list}, err
	}
	fuzzRoundTrip(f, events, `{"events":[{"sequence":1,"kind":"stored","key":"k","tokens":5}]}`)
}

func FuzzDecodeOrder(f *testing.F) {
	fuzzRoundTrip(f, DecodeOrder, `{"fencingNumber":3,"kind":"loadModel","model":"m","version":"1"}`)
}

func FuzzDecodeModels(f *testing.F) {
	fuzzRoundTrip(f, DecodeModels, `{"object":"list","data":[{"id":"m","object":"model"}]}`)
}

func FuzzDecodeCacheEntry(f *testing.F) {
	fuzzRoundTrip(f, DecodeCacheEntry, `{"key":"k","tokens":3,"data":"eA=="}`)
}

func BenchmarkDecodeChunk(b *testing.B) {
	data := []byte(`{"id":"attempt-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"a1b2c3 "},"finish_reason":null}]}`)
	var c Chunk
	b.ReportAllocs()
	for range b.N {
		if err := DecodeChunk(data, &c); err != nil {
			b.Fatal(err)
		}
	}
}
