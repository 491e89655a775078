package plainclient_test

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/rawupstream"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/pkg/engine"
)

func startRaw(t *testing.T, response string, end func(c *net.TCPConn, rest io.Reader)) netip.AddrPort {
	u, err := rawupstream.Start(response, end)
	require.NoError(t, err)
	t.Cleanup(func() { _ = u.Close() })
	return u.Address()
}

// TestStatusOutOfRangeIsNoResponse guards against a status that no final response has, which would
// be passed on to the caller.
func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, idempotent := range []bool{false, true} {
			f := newFixture(t, time.Minute)
			f.upstream.Address = startRaw(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" S\r\n"+engine.HeaderAttempt+": a1\r\nContent-Length: 2\r\n\r\nno",
				func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) })
			response, err := f.client.Forward(t.Context(), f.upstream, call(idempotent))
			assert.ErrorIs(t, err, plainclient.ErrResponseLost, "status %s: %d", status, response.Status)
		}
	}
}

// TestResponseToUnfinishedUpload guards against the first part of a response without a length that
// is returned as a complete one although the upload failed. The same response is complete if the
// whole upload was read.
func TestResponseToUnfinishedUpload(t *testing.T) {
	for name, test := range map[string]struct {
		size     int
		runs     int
		end      func(c *net.TCPConn, rest io.Reader)
		complete bool
	}{
		"reset": {runs: 20, size: 16 << 20, end: func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }},
		"half closed, then reset": {runs: 20, size: 16 << 20, end: func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond) // the client reads the end first
			_ = c.SetLinger(0)
		}},
		"half closed, then reset after a second": {runs: 2, size: 16 << 20, end: func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			time.Sleep(time.Second)
			_ = c.SetLinger(0)
		}},
		"read, then closed": {runs: 20, size: 1 << 10, complete: true, end: func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) }},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := newFixture(t, time.Minute)
				f.upstream.Address = startRaw(t, "HTTP/1.1 200 OK\r\n"+engine.HeaderAttempt+": a1\r\n\r\npart", test.end)
				c := call(idempotent)
				c.Body = []byte(strings.Repeat("x", test.size))
				for range test.runs {
					response, err := f.client.Forward(t.Context(), f.upstream, c)
					if test.complete {
						require.NoError(t, err)
						assert.Equal(t, "part", string(response.Body.Bytes()))
						continue
					}
					assert.ErrorIs(t, err, plainclient.ErrResponseLost, "%q", response.Body.Bytes())
				}
			})
		}
	}
}
