package endpoint

import (
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/guard"
)

// listenWithin listens with the timeouts of s.
func listenWithin(t *testing.T, s Settings) *Endpoint {
	s.Name, s.Address, s.Handler, s.Limits = "callers", netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(whole), callerlimit.New(callerlimit.Limits{})
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
