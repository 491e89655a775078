package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestEndlessHeaders guards against reading response headers without a limit. The
// upstream sends headers that never end, and must not be able to send more than the
// maximum size of headers and the capacity of the socket buffers.
func TestEndlessHeaders(t *testing.T) {
	const maxBuffered = 64 << 20 // upper limit on the bytes that socket buffers hold
	for name, text := range map[string][2]string{
		"one line":          {"", "HTTP"},
		"one field":         {"HTTP/1.1 200 OK\r\nX: ", "yyyyyyyy"},
		"fields":            {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"folded fields":     {"HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			sent := make(chan int, 1)
			go func() { sent <- writeEndlessly(l, text[0], text[1], maxBuffered) }()
			s := &scriptedServer{address: netip.MustParseAddrPort(l.Addr().String())}
			_, err = newTestPool(t).Do(t.Context(), s.call("o"))
			var failure *Failure
			require.ErrorAs(t, err, &failure)
			assert.True(t, failure.Sent)
			assert.True(t, errors.Is(err, errHeaderTooLarge) || strings.Contains(err.Error(), "malformed"), "%v", err)
			assert.Less(t, <-sent, maxBuffered, "the connection was closed")
		})
	}
}

// writeEndlessly responds to one request with beginning followed by repetitions of
// repeated, until the connection is closed or limit bytes were sent. It returns the
// number of bytes sent.
func writeEndlessly(l net.Listener, beginning, repeated string, limit int) (sent int) {
	c, err := l.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return 0
	}
	n, err := io.WriteString(c, beginning)
	repeated = strings.Repeat(repeated, 1000)
	for sent = n; err == nil && sent < limit; sent += n {
		n, err = io.WriteString(c, repeated)
	}
	return sent
}

// TestLongBodyIsNotBounded checks that the limit on headers does not apply to bodies.
func TestLongBodyIsNotBounded(t *testing.T) {
	body := strings.Repeat("x", 4*maxHeaderBytes)
	s := startScripted(t, func(int, int, *http.Request, string) (string, bool) {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + "262144" + "\r\n\r\n" + body, true
	})
	p := newTestPool(t)
	for range 3 {
		got, err := s.exchange(t, p, "o")
		require.NoError(t, err)
		assert.Len(t, got, len(body))
	}
}
