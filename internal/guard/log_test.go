package guard

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// String returns what has been written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// TestUnansweredRequestsAreLogged guards against a connection that ends without a response and
// leaves no trace, and against lines about callers that have left or got a response.
func TestUnansweredRequestsAreLogged(t *testing.T) {
	const unanswered, fault = "request unanswered", "endpoint error"
	for name, c := range map[string]struct {
		handler func(w http.ResponseWriter, r *http.Request, caller net.Conn)
		want    []string
	}{
		"aborted": {func(http.ResponseWriter, *http.Request, net.Conn) { panic(http.ErrAbortHandler) }, []string{unanswered}},
		"panic":   {func(http.ResponseWriter, *http.Request, net.Conn) { panic("no such key") }, []string{unanswered, fault, "no such key"}},
		"answered": {func(w http.ResponseWriter, _ *http.Request, _ net.Conn) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "whole")
		}, nil},
		"caller left": {func(_ http.ResponseWriter, r *http.Request, caller net.Conn) {
			_ = caller.Close()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			out := new(lockedBuffer)
			log := hclog.New(&hclog.LoggerOptions{Output: out})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			g := New(Settings{Registry: callerlimit.New(callerlimit.Limits{}), Clock: time.Now, OnUnanswered: LogUnanswered(log, "callers")})
			ended, callers := make(chan struct{}), make(chan net.Conn, 1)
			server := &http.Server{
				Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.handler(w, r, <-callers) }),
				ConnContext: g.ConnContext,
				ConnState: func(c net.Conn, state http.ConnState) {
					g.ConnState(c, state)
					if state == http.StateClosed {
						close(ended)
					}
				},
				ErrorLog: ErrorLog(log, "callers"),
			}
			go func() { _ = server.Serve(g.Listener(l)) }()
			t.Cleanup(func() { _ = server.Close() })
			caller := dial(t, l.Addr().String())
			callers <- caller
			_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			<-ended
			for _, text := range []string{unanswered, fault, "no such key"} {
				assert.Equal(t, slices.Contains(c.want, text), strings.Contains(out.String(), text), "%s: %s", text, out)
			}
		})
	}
}
