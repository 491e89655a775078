package endpoint

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

const (
	start = "GET / HTTP/1.1\r\nHost: h\r\nX-"
	rest  = "Rest: r\r\n\r\n"
)

var errStopping = errors.New("stopping")

func listen(t *testing.T, h http.HandlerFunc) *Endpoint { return listenWith(t, h, 0) }

// listenWith listens with the given CutTimeout.
func listenWith(t *testing.T, h http.HandlerFunc, cutTimeout time.Duration) *Endpoint {
	e, err := Listen(Settings{
		Name: "callers", Address: netip.MustParseAddrPort("127.0.0.1:0"), Handler: h, Limits: callerlimit.New(callerlimit.Limits{}),
		IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, UnusedWait: time.Minute, Stopping: errStopping, CutTimeout: cutTimeout, Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Kill() })
	return e
}

// caller is a connection to an endpoint.
type caller struct {
	net.Conn
	t         *testing.T
	responses *bufio.Reader
}

func dial(t *testing.T, e *Endpoint) *caller {
	c, err := net.Dial("tcp", e.Address().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return &caller{Conn: c, t: t, responses: bufio.NewReader(c)}
}

func (c *caller) send(s string) {
	_, err := io.WriteString(c, s)
	require.NoError(c.t, err)
}

func (c *caller) receive() (status int, body string) {
	response, err := http.ReadResponse(c.responses, nil)
	require.NoError(c.t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return response.StatusCode, string(data)
}

// reuse returns a connection on which a request has been answered and a part of the next one has
// been read.
func reuse(t *testing.T, e *Endpoint) *caller {
	c := dial(t, e)
	c.send(start + rest)
	_, body := c.receive()
	require.Equal(t, "whole", body)
	c.send(start)
	time.Sleep(50 * time.Millisecond) // long enough to be read; else the test shows nothing
	return c
}

// closing closes the endpoint and returns a channel that receives the result.
func closing(ctx context.Context, e *Endpoint) chan error {
	closed := make(chan error, 1)
	go func() { closed <- e.Close(ctx) }()
	return closed
}

func whole(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }

// TestStopServesARequestWhoseHeadIsBeingRead guards against a request that is cut off by the end of
// its idle connection while its head arrives.
func TestStopServesARequestWhoseHeadIsBeingRead(t *testing.T) {
	e := listen(t, whole)
	c := reuse(t, e)
	closed := closing(t.Context(), e)
	assert.Never(t, func() bool { return len(closed) > 0 }, 100*time.Millisecond, time.Millisecond, "a request arrives")
	c.send(rest)
	status, body := c.receive()
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, "whole", body)
	_, err := c.responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF, "the connection ends after the response")
	assert.NoError(t, <-closed)
}

// TestStopWaitsForRequestsThatCrossedIt guards against a process that exits while a request runs on
// a connection that was idle when the stop began.
func TestStopWaitsForRequestsThatCrossedIt(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	e := listen(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			running <- struct{}{}
			<-release
		}
		whole(w, r)
	})
	c := dial(t, e)
	c.send(start + rest)
	c.receive()
	c.send("PO")
	time.Sleep(50 * time.Millisecond) // long enough to be read; else the test shows nothing
	require.NoError(t, e.StopAccepting())
	c.send("ST / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	closed := closing(t.Context(), e)
	assert.Never(t, func() bool { return len(closed) > 0 }, 100*time.Millisecond, time.Millisecond, "a request is in progress")
	close(release)
	status, _ := c.receive()
	assert.Equal(t, http.StatusOK, status)
	assert.NoError(t, <-closed)
}

// TestRequestsThatAreCutOffGetAResponse guards against a request that is in progress at the end of
// a stop and gets no response.
func TestRequestsThatAreCutOffGetAResponse(t *testing.T) {
	running := make(chan struct{}, 1)
	var responded atomic.Bool
	e := listenWith(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		time.Sleep(10 * time.Millisecond)
		if errors.Is(context.Cause(r.Context()), errStopping) {
			w.WriteHeader(http.StatusBadGateway)
			responded.Store(true)
		}
	}, time.Minute)
	c := dial(t, e)
	c.send(start)
	time.Sleep(50 * time.Millisecond) // long enough to be read; else the test shows nothing
	require.NoError(t, e.StopAccepting())
	c.send(rest)
	<-running
	ctx, cancel := context.WithCancel(t.Context())
	closed := closing(ctx, e)
	cancel()
	assert.NoError(t, <-closed)
	assert.True(t, responded.Load(), "before the process may exit")
	status, _ := c.receive()
	assert.Equal(t, http.StatusBadGateway, status)
}

// TestRequestsThatAreCutOffLateGetAResponse guards against requests that are in progress at the end of
// a stop and get no response because the VM is slow: it takes some time until the last one is written.
func TestRequestsThatAreCutOffLateGetAResponse(t *testing.T) {
	const requests = 50
	running := make(chan struct{}, requests)
	e := listenWith(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		time.Sleep(2 * defaultCutTimeout)
		w.WriteHeader(http.StatusBadGateway)
	}, time.Minute)
	var all []*caller
	for range requests {
		c := dial(t, e)
		c.send(start + rest)
		<-running
		all = append(all, c)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NoError(t, e.Close(ctx))
	for _, c := range all {
		status, _ := c.receive()
		assert.Equal(t, http.StatusBadGateway, status)
	}
}

// TestStopDoesNotWaitForGood guards against a stop that waits for a request that does not end.
func TestStopDoesNotWaitForGood(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	e := listenWith(t, func(http.ResponseWriter, *http.Request) {
		close(running)
		<-release
	}, time.Millisecond)
	c := dial(t, e)
	c.send(start + rest)
	<-running
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NoError(t, e.Close(ctx))
	_, err := c.responses.ReadByte()
	assert.Error(t, err, "the connection is closed")
}

// TestStopEndsIdleConnections guards against a stop that waits for callers that send nothing.
func TestStopEndsIdleConnections(t *testing.T) {
	e := listen(t, whole)
	var all []*caller
	for range 20 {
		c := dial(t, e)
		c.send(start + rest)
		c.receive()
		all = append(all, c)
	}
	assert.NoError(t, e.Close(t.Context()))
	for _, c := range all {
		_, err := c.responses.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
	}
}

// TestUnusedConnectionsAreServedOnce guards against a caller that opens a connection before a stop
// and sends its request after it.
func TestUnusedConnectionsAreServedOnce(t *testing.T) {
	e := listen(t, whole)
	c := dial(t, e)
	require.Eventually(t, func() bool { return e.guard.Connections(time.Now()) == 1 }, time.Minute, time.Millisecond)
	closed := closing(t.Context(), e)
	assert.Never(t, func() bool { return len(closed) > 0 }, 50*time.Millisecond, time.Millisecond, "a request may be on its way")
	c.send(start + rest)
	status, _ := c.receive()
	assert.Equal(t, http.StatusOK, status)
	assert.NoError(t, <-closed)
}

// TestStopDoesNotWaitAfterAnEmptyLine guards against a stop that waits for a caller that has sent the
// empty line that some send after a body.
func TestStopDoesNotWaitAfterAnEmptyLine(t *testing.T) {
	e := listen(t, whole)
	c := dial(t, e)
	c.send(start + rest)
	c.receive()
	c.send("\r\n")
	time.Sleep(50 * time.Millisecond) // long enough to be read; else the test shows nothing
	assert.NoError(t, e.Close(t.Context()), "before the idle timeout of a minute")
	_, err := c.responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestDrainEndsWhileCallersKeepComing guards against a stop that lasts as long as it may because
// callers open connections all the time.
func TestDrainEndsWhileCallersKeepComing(t *testing.T) {
	running, release := make(chan struct{}, 1), make(chan struct{})
	e := listen(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			running <- struct{}{}
			<-release
		}
		whole(w, r)
	})
	c := dial(t, e)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	<-running
	drained := make(chan struct{})
	go func() {
		e.Drain(t.Context())
		close(drained)
	}()
	require.Eventually(t, e.guard.Draining, time.Minute, time.Millisecond)
	for range 3 {
		other := dial(t, e)
		other.send(start + rest)
		status, _ := other.receive()
		assert.Equal(t, http.StatusOK, status)
	}
	held := dial(t, e) // stays open
	held.send(start)
	select {
	case <-drained:
		t.Error("a request is in progress")
	default:
	}
	close(release)
	<-drained
}
