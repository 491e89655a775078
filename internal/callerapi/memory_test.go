package callerapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/pkg/configuration"
)

// TestCountElements guards against elements that take memory without being counted, and against
// ordinary texts that seem to have many.
func TestCountElements(t *testing.T) {
	for _, c := range []struct {
		body              string
		elements, escapes int
	}{
		{`{"model":"m","a":[0,0,{"b":0,"c":0}],"stream":true}`, 2, 0},
		{`{"messages":[{},{},{}],"a":[0,0]}`, 3, 0},
		{`{"m\u0065ssages":[{},{},{}]}`, 2, 0},
		{`{"a":"messages","b":[0,0,0]}`, 1, 0},
		{`{"messages":[{"role":"user","x":0,"content":[{"type":"text","text":"a, b"},{"type":"text"}]}]}`, 3, 0},
		{`{"messages":[{"content":"a, \"b\", {c: [d, e}\\"},{}]}`, 1, 0},
		{`{"messages":[{"content":"<a> & ` + "\u2028" + `"}]}`, 0, 4},
		{`]]],,,"`, 0, 0},
	} {
		elements, escapes := countElements([]byte(c.body))
		assert.Equal(t, c.elements, elements, c.body)
		assert.Equal(t, c.escapes, escapes, c.body)
	}
	assert.Greater(t, chatMemory([]byte("\"\xff\"")), chatMemory([]byte(`"a"`)))
}

// TestRefusalsForMemory guards against a refusal that promises memory which there will never be, and
// against one that says that a request has not run which an earlier one with its key may have.
func TestRefusalsForMemory(t *testing.T) {
	registry := callerlimit.New(callerlimit.Limits{Memory: 400 << 10})
	other, ok := registry.Open(time.Now(), func(callerlimit.Phase) bool { return true })
	require.True(t, ok)
	require.True(t, other.Reserve(time.Now(), 250<<10))
	g := guard.New(guard.Settings{Registry: registry, Clock: time.Now})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	sizes := map[string]int64{"/fits": 10 << 10, "/later": 200 << 10, "/never": 500 << 10}
	server := &http.Server{ConnContext: g.ConnContext, ConnState: g.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refused := reserve(r, sizes[r.URL.Path]); refused != nil {
			refused.Write(w, "")
		}
	})}
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	for _, c := range []struct {
		path, header, body string
		status             int
	}{
		{"/fits", "", "", http.StatusOK},
		{"/later", "", `"notRun":true`, http.StatusServiceUnavailable},
		{"/later", "Idempotency-Key: k\r\n", `"notRun":false`, http.StatusServiceUnavailable},
		{"/never", "", `"bodyTooLarge"`, http.StatusRequestEntityTooLarge},
	} {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET "+c.path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+c.header+"\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		assert.Equal(t, c.status, response.StatusCode, c.path)
		assert.True(t, strings.Contains(string(body), c.body), "%s: %s", c.path, body)
		assert.Equal(t, c.path == "/later", response.Header.Get("Retry-After") != "", c.path)
	}
}

// TestChatMemoryCoversWhatIsDecoded guards against bodies that take more memory than is reserved for
// them once they are decoded and encoded.
func TestChatMemoryCoversWhatIsDecoded(t *testing.T) {
	const size = 1 << 20
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fmt.Fprintf(&fields, `,"%x":0`, n)
	}
	prompt := func(repeated string) string {
		return `[{"role":"u","content":"` + strings.Repeat(repeated, size/len(repeated)) + `"}]`
	}
	heap := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	for name, messages := range map[string]string{
		"prompt":     prompt("x"),
		"invalid":    prompt("\xff"),
		"escapes":    prompt("<"),
		"separators": prompt("\u2028"),
		"fields":     prompt("x") + fields.String(),
	} {
		body := []byte(`{"model":"m","messages":` + messages + "}")
		before := heap()
		p, refused := parsePrompt(body)
		require.Nil(t, refused, name)
		request, refused := p.newChat(caller{application: &configuration.Application{MaxOutput: 1 << 20}}, &configuration.Model{})
		require.Nil(t, refused, name)
		taken := heap() - before + int64(len(body))
		assert.Less(t, taken, chatMemory(body), name)
		t.Logf("%s: %.1f of %.1f bytes for each", name, float64(taken)/float64(len(body)), float64(chatMemory(body))/float64(len(body)))
		runtime.KeepAlive(p)
		runtime.KeepAlive(request)
	}
}
