package embedded

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCallerThatHoldsUpAStopKeepsNoShares guards against shares that a stop does not return because a
// caller sent only a part of its next request, or the empty line that some send after a body.
func TestCallerThatHoldsUpAStopKeepsNoShares(t *testing.T) {
	for name, part := range map[string]string{"empty line": "\r\n", "head": "GET / HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) { testStopHeldUpBy(t, part) })
	}
}

func testStopHeldUpBy(t *testing.T, part string) {
	d := start(t, 2, func(*Settings) {})
	router := d.Routers[0]
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	r, err := send(ctx, "http://"+router.CallerAddress().String(), chatRequest{prompt: "hello", maxTokens: 5})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, r.status)
	c, err := net.Dial("tcp", router.CallerAddress().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.WriteString(c, part)
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // long enough to be read; else the test shows nothing
	closing, done := context.WithTimeout(t.Context(), 2*time.Second)
	defer done()
	began := time.Now()
	assert.NoError(t, router.Close(closing))
	t.Logf("the stop took %v", time.Since(began))
	d.Routers, d.Clients = d.Routers[1:], d.Clients[1:]
}
