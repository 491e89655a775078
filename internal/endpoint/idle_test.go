package endpoint

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/guard"
)

// listenWithin listens with the timeouts of s.
func listenWithin(t *testing.T, s Settings) *Endpoint { return listenHandler(t, s, whole) }

// listenHandler is listenWithin with another handler.
func listenHandler(t *testing.T, s Settings, h http.HandlerFunc) *Endpoint {
	s.Name, s.Address, s.Handler, s.Limits = "callers", netip.MustParseAddrPort("127.0.0.1:0"), h, callerlimit.New(callerlimit.Limits{})
	s.Stopping, s.Clock, s.Log = errStopping, time.Now, hclog.NewNullLogger()
	e, err := Listen(s)
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Kill() })
	return e
}

// TestUnusedConnectionIsKeptLikeAnIdleOne guards against a request that gets no response because its
// connection was opened some time before, and ended by the time that a head may take.
func TestUnusedConnectionIsKeptLikeAnIdleOne(t *testing.T) {
	const headTimeout = 100 * time.Millisecond
	c := dial(t, listenWithin(t, Settings{ReadHeaderTimeout: headTimeout, IdleTimeout: time.Minute}))
	for range 2 {
		time.Sleep(2 * headTimeout)
		c.send(start + rest)
		status, _ := c.receive()
		assert.Equal(t, http.StatusOK, status)
	}
	c.send(start)
	status, _ := c.receive()
	assert.Equal(t, http.StatusRequestTimeout, status, "a head without end")
	_, err := c.responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestFirstRequestHasTheTimeOfOthers guards against a request within the limits that gets no response, or
// whose body is cut off, because the time for it began when its connection was opened.
func TestFirstRequestHasTheTimeOfOthers(t *testing.T) {
	const readTimeout = time.Second
	c := dial(t, listenHandler(t, Settings{ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout, IdleTimeout: time.Minute}, readBody))
	for _, framing := range []string{"Content-Length: 2\r\n\r\na|a", "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n|1\r\na\r\n0\r\n\r\n"} {
		first, second, _ := strings.Cut(framing, "|")
		time.Sleep(readTimeout * 6 / 5)
		c.send("POST / HTTP/1.1\r\nHost: h\r\n" + first)
		time.Sleep(readTimeout / 2)
		c.send(second)
		status, _ := c.receive()
		assert.Equal(t, http.StatusOK, status, framing)
	}
}

// TestBodiesEnd guards against bodies without end that are read for good, whether or not the handler reads
// them.
func TestBodiesEnd(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{"read": readBody, "unread": whole} {
		e := listenHandler(t, Settings{ReadTimeout: 100 * time.Millisecond, IdleTimeout: time.Minute}, h)
		for _, framing := range []string{"Content-Length: 2\r\n\r\na", "Transfer-Encoding: chunked\r\n\r\n1\r\n"} {
			c := dial(t, e)
			c.send("POST / HTTP/1.1\r\nHost: h\r\n" + framing)
			c.receive()
			_, err := c.responses.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "%s, %s", name, framing)
		}
	}
}

// readBody responds with status 400 if the body cannot be read.
func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

// TestUnusedConnectionEnds guards against connections on which nothing ever arrives.
func TestUnusedConnectionEnds(t *testing.T) {
	e := listenWithin(t, Settings{ReadHeaderTimeout: time.Minute, IdleTimeout: 50 * time.Millisecond})
	_, err := dial(t, e).responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	c := dial(t, e)
	c.send(start + rest)
	c.receive()
	_, err = c.responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestConfiguredLimitsAreBounded guards against a configuration that takes away the limits of the
// endpoint, and against limits that are missing before there is one.
func TestConfiguredLimitsAreBounded(t *testing.T) {
	own := Settings{ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second}
	for configured, want := range map[guard.Limits]guard.Limits{
		{}: {HeadTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second},
		{HeadBytes: 16_384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}: {HeadBytes: 16_384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		{HeadTimeout: time.Minute, IdleTimeout: time.Hour}:                               {HeadTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second},
		{HeadTimeout: -1, IdleTimeout: -1}:                                               {HeadTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second},
	} {
		s := own
		s.Configured = func() guard.Limits { return configured }
		assert.Equal(t, want, s.limits())
	}
	assert.Equal(t, guard.Limits{HeadTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second}, own.limits())
	unlimited := Settings{Configured: func() guard.Limits { return guard.Limits{IdleTimeout: time.Second} }}
	assert.Equal(t, guard.Limits{IdleTimeout: time.Second}, unlimited.limits())
}
