package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/queue"
)

// dialCaller returns a connection to the forwarder on which a request was sent.
func (f *fixture) dialCaller(request string) *net.TCPConn {
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = io.WriteString(c, request)
	require.NoError(f.t, err)
	return c.(*net.TCPConn)
}

// logged has the fixture log into the returned builder, which is complete once f.server is closed.
func (f *fixture) logged() *strings.Builder {
	log := new(strings.Builder)
	f.forwarder.settings.Log = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
	return log
}

// guarded puts a guard before the forwarder, so that connections can be reset.
func (f *fixture) guarded() {
	g := guard.New(guard.Settings{Registry: callerlimit.New(callerlimit.Limits{}), Clock: time.Now})
	s := httptest.NewUnstartedServer(f.server.Config.Handler)
	s.Listener = g.Listener(s.Listener)
	s.Config.ConnContext, s.Config.ConnState = g.ConnContext, g.ConnState
	s.Start()
	f.t.Cleanup(s.Close)
	f.server, f.forwarder.settings.Discard = s, guard.Discard
}

const wholeRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// TestCallerThatHasFinishedSendingGetsAResponse guards against a whole request that gets no response
// because its caller has closed the sending side. The run ends, and the response promises nothing.
func TestCallerThatHasFinishedSendingGetsAResponse(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	f := newFixture(t, resumable, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	f.metered(1000, 100, 100, 4)
	log := f.logged()
	c := f.dialCaller(wholeRequest)
	<-began
	require.NoError(t, c.CloseWrite())
	<-ended
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, response.StatusCode)
	assert.Empty(t, response.Header.Get("Retry-After"))
	assert.True(t, response.Close)
	f.server.Close()
	assert.Regexp(t, `"outcome":"callerLeft",.*"status":502`, log.String())
	require.NoError(t, f.wallet.Close(context.Background()))
	assert.EqualValues(t, 100, f.ledger.budget("parish").Settled, "as for one that has left")
}

// TestCallerThatHasFinishedSendingLearnsThatNothingRan guards against a whole request that gets no
// response although it waits before the upstreams.
func TestCallerThatHasFinishedSendingLearnsThatNothingRan(t *testing.T) {
	answer := make(chan struct{})
	unhurried := idempotent
	unhurried.Timeout = time.Hour
	f := newFixture(t, unhurried, func(w http.ResponseWriter, r *http.Request) {
		<-answer
		succeed(w, r)
	})
	release := sync.OnceFunc(func() { close(answer) })
	t.Cleanup(release)
	request := f.request
	f.request = func(h *http.Request) *Request {
		r := request(h)
		r.Deadline = r.Arrived.Add(time.Hour)
		return r
	}
	q := queue.New(queue.Settings{
		Occupancy: f.roster.Occupancy, RouterCount: func() int { return 16 }, RecordWait: func(string, time.Duration) {}, Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	f.forwarder.settings.Queue = q
	log := f.logged()
	for range 8 { // as many as the upstream's slots
		f.dialCaller(wholeRequest)
	}
	await := func(running int64, waiting int) {
		require.Eventually(t, func() bool {
			s := q.State()["s"]
			return s.Running == running && s.Waiting == waiting
		}, 10*time.Second, time.Millisecond)
	}
	await(8, 0)
	c := f.dialCaller(wholeRequest)
	await(8, 1)
	require.NoError(t, c.CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	release()
	await(0, 0)
	f.server.Close()
	assert.Regexp(t, `"outcome":"callerLeft",.*"runs":0,.*"status":503`, log.String())
}

// TestCallerWithPartOfAStreamIsCutOff guards against a part of a stream that is taken for all of it
// by a caller that has closed the sending side: with HTTP/1.0, the end of the connection ends the
// response unless it is a reset.
func TestCallerWithPartOfAStreamIsCutOff(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(protocol, func(t *testing.T) {
			f := newFixture(t, resumable, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			f.guarded()
			log := f.logged()
			c := f.dialCaller("GET /x " + protocol + "\r\nHost: h\r\n\r\n")
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, len("id: 1\ndata: a\n\n")))
			require.NoError(t, err)
			require.NoError(t, c.CloseWrite())
			rest, err := io.ReadAll(response.Body)
			assert.Error(t, err, "%q", rest)
			f.server.Close()
			assert.Regexp(t, `"outcome":"callerLeft",.*"status":0`, log.String())
		})
	}
}

// deadlineRecorder records the deadline for writes.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline is for http.ResponseController.
func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// TestWriteToCallerThatHasLeftIsBounded guards against a caller that has left and keeps its
// connection, and what is written to it, until the deadline of its request.
func TestWriteToCallerThatHasLeftIsBounded(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	f := newFixture(t, resumable, func(_ http.ResponseWriter, r *http.Request) {
		leave()
		<-r.Context().Done()
	})
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
	r := f.request(h)
	r.Deadline = r.Arrived.Add(time.Hour)
	f.forwarder.Serve(w, h, r)
	assert.Equal(t, http.StatusBadGateway, w.Code)
	assert.WithinRange(t, w.deadline, r.Arrived, time.Now().Add(errorWriteTimeout))
}
