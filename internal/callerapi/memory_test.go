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
	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/pkg/configuration"
)

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

// chatForm is what the messages field of a chat request and the fields after it consist of.
type chatForm struct {
	messages string
	refused  bool
}

func (f chatForm) body() []byte { return []byte(`{"model":"m","messages":` + f.messages + "}") }

// chatForms returns chat requests of about 1 MiB.
func chatForms() map[string]chatForm {
	const size = 1 << 20
	const message = `[{"role":"u","content":"x"}]`
	repeat := func(repeated string) string { return strings.Repeat(repeated, size/len(repeated)) }
	prompt := func(repeated string) string { return `[{"role":"u","content":"` + repeat(repeated) + `"}]` }
	list := func(start, element string) string { return `[` + start + repeat(","+element) + `]` }
	parts := func(element string) string { return `[{"role":"u","content":` + list(element, element) + `}]` }
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fmt.Fprintf(&fields, `,"%x":0`, n)
	}
	return map[string]chatForm{
		"prompt":            {messages: prompt("x")},
		"invalid":           {messages: prompt("\xff")},
		"characters":        {messages: prompt("<")},
		"separators":        {messages: prompt("\u2028")},
		"escapes":           {messages: prompt(`\n`)},
		"code points":       {messages: prompt(`\u00e9`)},
		"fields":            {messages: message + fields.String()},
		"repeated fields":   {messages: message + repeat(`,"":0`)},
		"escaped names":     {messages: message + repeat(`,"\n":0`)},
		"repeated messages": {messages: message + repeat(`,"messages":`+message)},
		"numbers":           {messages: message + `,"x":` + list("0", "0")},
		"nested lists":      {messages: message + `,"x":` + list("0", strings.Repeat("[", 5000)+strings.Repeat("]", 5000))},
		"messages":          {messages: list(`{"role":"u"}`, `{"role":"u","content":"`+strings.Repeat("x", 256)+`"}`)},
		"empty messages":    {messages: list("{}", "{}"), refused: true},
		"message fields":    {messages: `[{"role":"u","content":[]` + fields.String() + `}]`},
		"parts":             {messages: parts(`{"type":"text"}`)},
		"parts of text":     {messages: parts(`{"type":"text","text":"<` + "\u2028" + `\n"}`)},
		"one part":          {messages: `[{"role":"u","content":[{"type":"text","text":"` + repeat("x") + `"}]}]`},
		"empty parts":       {messages: parts("{}"), refused: true},
	}
}

// decodeChat decodes a chat request and encodes it for the engine.
func decodeChat(t *testing.T, f chatForm, body []byte) (p prompt, chat *dispatch.Chat) {
	p, refused := parsePrompt(body)
	require.Equal(t, f.refused, refused != nil)
	if refused == nil {
		chat, refused = p.newChat(caller{application: &configuration.Application{MaxOutput: 1 << 20}}, &configuration.Model{})
		require.Nil(t, refused)
	}
	return p, chat
}

// TestChatMemoryCoversWhatIsDecoded guards against bodies that take more memory than is reserved for
// them once they are decoded and encoded.
func TestChatMemoryCoversWhatIsDecoded(t *testing.T) {
	heap := func() int64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return int64(s.HeapAlloc)
	}
	for name, f := range chatForms() {
		body := f.body()
		before := heap()
		p, chat := decodeChat(t, f, body)
		taken := heap() - before + int64(len(body))
		assert.Less(t, taken, chatMemory(body), name)
		t.Logf("%s: %.1f of %d bytes for each", name, float64(taken)/float64(len(body)), chatMemory(body)/int64(len(body)))
		runtime.KeepAlive(p)
		runtime.KeepAlive(chat)
	}
}

// TestChatMemoryDependsOnTheLengthAlone guards against chat requests that are refused because of what
// they consist of.
func TestChatMemoryDependsOnTheLengthAlone(t *testing.T) {
	for _, repeated := range []string{"x", "<", ",", `{},`, `"":0,`, `\n`} {
		body := strings.Repeat(repeated, 1000)
		assert.Equal(t, LargestRequest(int64(len(body))), chatMemory([]byte(body)), repeated)
	}
	assert.Greater(t, chatMemory([]byte("\"\xff\"")), chatMemory([]byte(`"a"`)))
}
