package engine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const chunkHead, chunkTail = `{"id":"attempt-1","object":"chat.completion.chunk","created":0,"model":"m","choices":[{"index":0,"delta":{"content":"`,
	`"},"finish_reason":null}]}`

// assertDecodesLikeNew checks that one decoder, given the chunks in turn,
// decodes each of them as DecodeChunk does without previous state.
func assertDecodesLikeNew(t *testing.T, chunks ...[]byte) {
	t.Helper()
	var d ChunkDecoder
	for i, data := range chunks {
		var want Chunk
		wantErr := DecodeChunk(data, &want)
		got, err := d.Decode(data)
		if wantErr != nil {
			require.Error(t, err, "chunk %d", i)
			continue
		}
		require.NoError(t, err, "chunk %d", i)
		if len(want.Choices) == 0 {
			assert.Empty(t, got.Choices, "chunk %d", i)
			want.Choices = got.Choices
		}
		assert.Equal(t, want, *got, "chunk %d", i)
	}
}

func TestChunkDecoder(t *testing.T) {
	first := chunkHead + "one" + chunkTail
	tests := []struct{ name, first, second string }{
		{"text alone differs", first, chunkHead + "two" + chunkTail},
		{"longer text", first, chunkHead + strings.Repeat("žltý ", 50) + chunkTail},
		{"no text", first, chunkHead + chunkTail},
		{"escape in the text", first, chunkHead + `a\"b\u010d` + chunkTail},
		{"end of the object in the text", first, chunkHead + `a"},"finish_reason":"stop","x":{"y":"` + chunkTail},
		{"invalid UTF-8", first, chunkHead + "\xff" + chunkTail},
		{"control character", first, chunkHead + "\n" + chunkTail},
		{"another attempt", first, strings.Replace(first, "attempt-1", "attempt-2", 1)},
		{"finish", first, strings.Replace(first, "null", `"stop"`, 1)},
		{"overlapping ends", first, chunkHead + chunkTail[1:]},
		{"second delta", `{"choices":[{"delta":{"content":"x"},"Delta":{"content":"x"}}]}`, `{"choices":[{"delta":{"content":"y"},"Delta":{"content":"x"}}]}`},
		{"second list", `{"choices":[{"delta":{"content":"x"}}],"Choices":[{"Delta":{"Content":"x"}}]}`, `{"choices":[{"delta":{"content":"y"}}],"Choices":[{"Delta":{"Content":"x"}}]}`},
		{"escaped key", `{"choices":[{"delta":{"content":"x"},"\u0064elta":{"content":"x"}}]}`, `{"choices":[{"delta":{"content":"y"},"\u0064elta":{"content":"x"}}]}`},
		{"outside the choices", `{"x":{"delta":{"content":"x"}}}`, `{"x":{"delta":{"content":"y"}}}`},
		{"malformed in between", first, `{`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assertDecodesLikeNew(t, []byte(test.first), []byte(test.second), []byte(test.first))
		})
	}
}

func FuzzChunkDecoder(f *testing.F) {
	f.Add([]byte(chunkHead+"one"+chunkTail), []byte("two"), []byte(chunkHead+chunkTail))
	f.Add([]byte(`{"choices":[{"delta":{"content":"x"},"Delta":{"content":"x"}}]}`), []byte(`\u0041`), []byte(`{}`))
	f.Add([]byte(`{"Choices":[{"delta":{"content":"x"}}]}`), []byte("\xff"), []byte(`{"usage":null}`))
	f.Fuzz(func(t *testing.T, first, text, last []byte) {
		before, after, found := strings.Cut(string(first), contentMarker)
		second := first
		if _, rest, ok := strings.Cut(after, `"`); found && ok {
			second = []byte(before + contentMarker + string(text) + `"` + rest)
		}
		assertDecodesLikeNew(t, first, second, last, first)
	})
}

func BenchmarkChunkDecoder(b *testing.B) {
	data := []byte(chunkHead + "a1b2c3 " + chunkTail)
	var d ChunkDecoder
	b.ReportAllocs()
	for range b.N {
		if _, err := d.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}
