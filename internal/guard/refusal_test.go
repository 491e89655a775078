package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

// TestSizeOfHeads guards against a head of the maximum size that is refused, or one above it that is
// served, wherever the reads end: after empty lines, after a body and after a request that is in
// progress.
func TestSizeOfHeads(t *testing.T) {
	const limit = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	registry := callerlimit.New(callerlimit.Limits{})
	g := New(Settings{Registry: registry, Limits: func() Limits { return Limits{HeadBytes: limit} }, Clock: time.Now})
	server := &http.Server{Handler: http.HandlerFunc(echo), ConnContext: g.ConnContext, ConnState: g.ConnState}
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })

	head := func(size int, framing string) string {
		const start, end = "POST / HTTP/1.1\r\nHost: h\r\nFill: ", "\r\n\r\n"
		return start + strings.Repeat("x", size-len(start+framing+end)-2) + "\r\n" + framing + end
	}
	const length, chunked = "Content-Length: 300", "Transfer-Encoding: chunked"
	whole := head(limit, length) + strings.Repeat("y", 300) + "\r\n" + head(limit, chunked) + "12c\r\n" + strings.Repeat("y", 300) + "\r\n0\r\n\r\n"
	for _, size := range []int{1, 7, 64, 199, 201, 4096} {
		for _, last := range []int{limit, limit + 1} {
			t.Run(fmt.Sprintf("%d, reads of %d bytes", last, size), func(t *testing.T) {
				c := dial(t, l.Addr().String())
				go func() {
					for data := whole + head(last, "Content-Length: 0"); len(data) > 0; data = data[min(size, len(data)):] {
						if _, err := io.WriteString(c, data[:min(size, len(data))]); err != nil {
							return
						}
					}
				}()
				responses := bufio.NewReader(c)
				for range 2 {
					response, body := receive(t, responses)
					require.Equal(t, http.StatusOK, response.StatusCode)
					require.Len(t, body, 300)
				}
				response, _ := receive(t, responses)
				if last == limit {
					assert.Equal(t, http.StatusOK, response.StatusCode)
					return
				}
				assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
				assert.True(t, response.Close)
				_, err := responses.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			})
		}
	}
	require.Eventually(t, func() bool { return registry.State().Memory == 0 }, time.Minute, time.Millisecond)
}

// TestRefusedConnectionIsNotReadAgain guards against a connection that is read without a pause until the
// time of its head is over: net/http reads again after the part of a line, when the deadline that is in
// force is that of the refusal.
func TestRefusedConnectionIsNotReadAgain(t *testing.T) {
	for name, limits := range map[string]Limits{
		"memory": {HeadTimeout: time.Minute}, "size": {HeadTimeout: time.Minute, HeadBytes: 10}, "time": {HeadTimeout: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			registry := callerlimit.New(callerlimit.Limits{Memory: 8 << 10})
			var reads atomic.Int64
			c, far := newConn(t, registry, func(*conn) { reads.Add(1) })
			c.guard.settings.Limits = func() Limits { return limits }
			head := "GET / HTTP/1.1\r\na:"
			if name == "memory" {
				head += strings.Repeat("\r\na:", 100)
			}
			go func() {
				_, _ = io.WriteString(far, head)
				_, _ = io.Copy(io.Discard, far)
			}()
			b, err := make([]byte, 4096), error(nil)
			for err == nil {
				_, err = c.Read(b)
			}
			require.ErrorIs(t, err, io.EOF)
			before := reads.Load()
			ended := make(chan error, 1)
			go func() {
				_, err := c.Read(b)
				ended <- err
			}()
			require.Eventually(t, func() bool { return len(ended) > 0 }, time.Minute, time.Millisecond)
			assert.ErrorIs(t, <-ended, io.EOF)
			assert.Equal(t, before, reads.Load())
		})
	}
}
