package endpoint

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

// TestResponsesDuringAStopAnnounceTheEndOfTheConnection guards against a caller that sends its next
// request on a connection of which it cannot know that the router ends it after the response.
func TestResponsesDuringAStopAnnounceTheEndOfTheConnection(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	e := listen(t, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-release
		whole(w, r)
	})
	c := dial(t, e)
	c.send(start + rest)
	<-running
	closed := closing(t.Context(), e)
	time.Sleep(50 * time.Millisecond) // the stop has begun
	close(release)
	response, err := http.ReadResponse(c.responses, nil)
	require.NoError(t, err)
	assert.True(t, response.Close)
	assert.NoError(t, <-closed)
}

// TestStopServesARequestThatWaitsInTheSocket guards against a request that is cut off because it has
// arrived, but has not been read, when idle connections are ended: a VM may lack processor time.
func TestStopServesARequestThatWaitsInTheSocket(t *testing.T) {
	cut := 0
	for range 20 {
		e := listen(t, whole)
		c := dial(t, e)
		c.send(start + rest)
		c.receive()
		time.Sleep(5 * time.Millisecond) // the server waits for the next request
		c.send(start + rest)
		require.NoError(t, e.StopAccepting())
		response, err := http.ReadResponse(c.responses, nil)
		if err != nil {
			cut++
			continue
		}
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	assert.Zero(t, cut)
}

// TestStopServesAConnectionThatIsBeingAccepted guards against a request that is cut off because a
// stop found no connection open while one was being accepted.
func TestStopServesAConnectionThatIsBeingAccepted(t *testing.T) {
	accepted, release := make(chan struct{}, 1), make(chan struct{})
	e, err := Listen(Settings{
		Name: "callers", Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: http.HandlerFunc(whole), Limits: callerlimit.New(callerlimit.Limits{}),
		Wrap:       func(l net.Listener) net.Listener { return slowListener{l, accepted, release} },
		UnusedWait: time.Minute, Stopping: errStopping, Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Kill() })
	c := dial(t, e)
	c.send(start + rest)
	<-accepted
	closed := closing(t.Context(), e)
	time.Sleep(50 * time.Millisecond) // the stop has begun
	close(release)
	status, body := c.receive()
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "whole", body)
	assert.NoError(t, <-closed)
}

// slowListener is a listener whose Accept returns connections only after release is closed.
type slowListener struct {
	net.Listener
	accepted chan struct{}
	release  chan struct{}
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.release
	}
	return c, err
}
