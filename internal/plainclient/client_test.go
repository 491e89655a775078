package plainclient_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/plainservice"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
)

const maxResponse = 8 << 10 // bytes

type fixture struct {
	service  *plainservice.Service
	client   *plainclient.Client
	upstream configuration.Upstream
}

func newFixture(t *testing.T, idleTimeout time.Duration) *fixture {
	s := plainservice.New(plainservice.Settings{})
	c := plainclient.New(plainclient.Settings{
		IdleTimeout: func() time.Duration { return idleTimeout },
		MaxResponse: maxResponse,
	})
	t.Cleanup(func() {
		assert.NoError(t, c.Close())
		assert.NoError(t, s.Close())
	})
	return &fixture{service: s, client: c, upstream: configuration.Upstream{ID: "p1", Address: s.Address()}}
}

func call(idempotent bool) plainclient.Call {
	return plainclient.Call{
		Request:    "r1",
		Attempt:    "a1",
		Method:     http.MethodPost,
		Path:       "/permits?tower=7",
		Header:     http.Header{"Content-Type": {"application/json"}, plainservice.HeaderIdempotencyKey: {"k1"}},
		Body:       []byte(`{"strike":12}`),
		Idempotent: idempotent,
	}
}

func TestForward(t *testing.T) {
	f := newFixture(t, time.Minute)
	response, err := f.client.Forward(t.Context(), f.upstream, call(false))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.Status)
	var body plainservice.Response
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &body))
	assert.Equal(t, "/permits?tower=7", body.Path)
	assert.Equal(t, 1, f.service.Executions("r1"))
	assert.Equal(t, 1, f.service.Executions("k1"))
}

// TestFaults checks for each fault which error Forward returns, and that the
// call runs at most once, on new and on pooled connections.
func TestFaults(t *testing.T) {
	tests := []struct {
		name       string
		faults     plainservice.Faults
		want       error
		executions int
	}{
		{"rejected, not run", plainservice.Faults{NotRun: true}, plainclient.ErrNotRun, 0},
		{"dropped before execution", plainservice.Faults{DropBeforeExecution: true}, plainclient.ErrResponseLost, 0},
		{"dropped after execution", plainservice.Faults{DropAfterExecution: true}, plainclient.ErrResponseLost, 1},
		{"dropped within the response", plainservice.Faults{DropDuringBody: true}, plainclient.ErrResponseLost, 1},
		{"silent", plainservice.Faults{Silent: true}, plainclient.ErrResponseLost, 1},
		{"wrong attempt", plainservice.Faults{MismatchedAttempt: true}, plainclient.ErrWrongAttempt, 1},
		{"no attempt", plainservice.Faults{MissingAttempt: true}, plainclient.ErrWrongAttempt, 1},
		{"rejected, wrong attempt", plainservice.Faults{MismatchedAttempt: true, NotRun: true}, plainclient.ErrWrongAttempt, 0},
		{"too large", plainservice.Faults{ExcessBytes: maxResponse}, plainclient.ErrTooLarge, 1},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			name := test.name
			if idempotent {
				name += ", pooled"
			}
			t.Run(name, func(t *testing.T) {
				f := newFixture(t, 50*time.Millisecond)
				warm := call(true)
				warm.Request = "warm"
				_, err := f.client.Forward(t.Context(), f.upstream, warm)
				require.NoError(t, err)
				f.service.SetFaults(test.faults)
				response, err := f.client.Forward(t.Context(), f.upstream, call(idempotent))
				require.ErrorIs(t, err, test.want)
				assert.Empty(t, response)
				assert.Equal(t, test.executions, f.service.Executions("r1"))
			})
		}
	}
}

func TestRetainCutsNoCall(t *testing.T) {
	f := newFixture(t, time.Minute)
	f.service.SetFaults(plainservice.Faults{Delay: 50 * time.Millisecond})
	answered := make(chan error, 1)
	go func() {
		_, err := f.client.Forward(context.Background(), f.upstream, call(true))
		answered <- err
	}()
	for f.service.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.client.Retain(nil)
	require.NoError(t, <-answered)
	_, err := f.client.Forward(t.Context(), f.upstream, call(true))
	require.NoError(t, err)
}

func TestStatusWithoutPromiseIsPassedOn(t *testing.T) {
	f := newFixture(t, time.Minute)
	f.service.SetFaults(plainservice.Faults{Unavailable: true})
	response, err := f.client.Forward(t.Context(), f.upstream, call(false))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.Status)
}

func TestNothingIsSentIfTheConnectionIsRefused(t *testing.T) {
	f := newFixture(t, time.Minute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	f.upstream.Address = netip.MustParseAddrPort(l.Addr().String())
	_, err = f.client.Forward(t.Context(), f.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrNotRun)
}

func TestContextCancellation(t *testing.T) {
	f := newFixture(t, time.Minute)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := f.client.Forward(ended, f.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrNotRun)
	assert.Zero(t, f.service.TotalExecutions())

	f.service.SetFaults(plainservice.Faults{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for f.service.TotalExecutions() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = f.client.Forward(ctx, f.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrResponseLost)
	require.ErrorIs(t, err, context.Canceled)
}

func TestCloseEndsCalls(t *testing.T) {
	f := newFixture(t, time.Minute)
	f.service.SetFaults(plainservice.Faults{Silent: true})
	failed := make(chan error, 1)
	go func() {
		_, err := f.client.Forward(context.Background(), f.upstream, call(false))
		failed <- err
	}()
	for f.service.TotalExecutions() == 0 {
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, f.client.Close())
	require.ErrorIs(t, <-failed, plainclient.ErrResponseLost)
	_, err := f.client.Forward(t.Context(), f.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrNotRun)
}

// TestConnectionsOfCalls counts the connections that calls open: each call that
// is not idempotent opens its own.
func TestConnectionsOfCalls(t *testing.T) {
	for _, test := range []struct {
		idempotent  bool
		connections int64
	}{{false, 3}, {true, 1}} {
		var connections atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		}))
		server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				connections.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		f := newFixture(t, time.Minute)
		f.upstream.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		for range 3 {
			_, err := f.client.Forward(t.Context(), f.upstream, call(test.idempotent))
			require.NoError(t, err)
		}
		assert.Equal(t, test.connections, connections.Load())
	}
}

func TestHeadersOfTheConnectionAreDropped(t *testing.T) {
	got := make(chan http.Header, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	f := newFixture(t, time.Minute)
	f.upstream.Address = netip.MustParseAddrPort(l.Addr().String())
	c := call(true) // uses a keep-alive connection, on which the server's own Connection header reaches the client
	c.Header.Set("Connection", "keep-alive, X-Secret-Hop")
	c.Header.Set("X-Secret-Hop", "1")
	c.Header.Set("Te", "trailers")
	c.Header.Set("Upgrade", "h2c")
	c.Header.Set(engine.HeaderAttempt, "forged")
	response, err := f.client.Forward(t.Context(), f.upstream, c)
	require.NoError(t, err)
	sent := <-got
	for _, name := range []string{"X-Secret-Hop", "Te", "Upgrade"} {
		assert.Empty(t, sent.Get(name), name)
	}
	assert.Equal(t, "a1", sent.Get(engine.HeaderAttempt))
	assert.Equal(t, "k1", sent.Get(plainservice.HeaderIdempotencyKey))
	assert.Empty(t, response.Header.Get("X-Hop"))
	assert.Equal(t, "1", response.Header.Get("X-End"))
}
