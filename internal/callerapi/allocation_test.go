//go:build !race

package callerapi

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestChatMemoryCoversDecoding guards against bodies that take more memory than is reserved for them
// while they are decoded and encoded, whatever they consist of. What is allocated in all bounds what is
// held at any time. The race detector allocates more.
func TestChatMemoryCoversDecoding(t *testing.T) {
	allocated := func() int64 {
		var s runtime.MemStats
		runtime.ReadMemStats(&s)
		return int64(s.TotalAlloc)
	}
	for name, f := range chatForms() {
		body := f.body()
		before := allocated()
		decodeChat(t, f, body)
		received := int64(len(body)) * plainFactor
		taken := received + allocated() - before
		assert.Less(t, taken, chatMemory(body), name)
		t.Logf("%s: %.1f of %d bytes for each", name, float64(taken)/float64(len(body)), chatMemory(body)/int64(len(body)))
	}
}
