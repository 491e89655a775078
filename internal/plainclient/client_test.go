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

type bench struct {
	service  *plainservice.Service
	client   *plainclient.Client
	upstream configuration.Upstream
}

func newBench(t *testing.T, silence time.Duration) *bench {
	s := plainservice.New(plainservice.Settings{})
	c := plainclient.New(plainclient.Settings{
		SilenceLimit: func() time.Duration { return silence },
		MaxResponse:  maxResponse,
	})
	t.Cleanup(func() {
		assert.NoError(t, c.Close())
		assert.NoError(t, s.Close())
	})
	return &bench{service: s, client: c, upstream: configuration.Upstream{ID: "p1", Address: s.Address()}}
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
	b := newBench(t, time.Minute)
	response, err := b.client.Forward(t.Context(), b.upstream, call(false))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.Status)
	var body plainservice.Response
	require.NoError(t, json.Unmarshal(response.Body, &body))
	assert.Equal(t, "/permits?tower=7", body.Path)
	assert.Equal(t, 1, b.service.Executions("r1"))
	assert.Equal(t, 1, b.service.Executions("k1"))
}

// TestFaults checks for each fault what is known of the call, and that it was
// executed no more than once, on fresh and on pooled connections.
func TestFaults(t *testing.T) {
	tests := []struct {
		name       string
		faults     plainservice.Faults
		want       error
		executions int
	}{
		{"refused unrun", plainservice.Faults{NotRun: true}, plainclient.ErrNotRun, 0},
		{"dropped before execution", plainservice.Faults{DropBefore: true}, plainclient.ErrLost, 0},
		{"dropped after execution", plainservice.Faults{DropAfter: true}, plainclient.ErrLost, 1},
		{"dropped within the response", plainservice.Faults{DropWithin: true}, plainclient.ErrLost, 1},
		{"silent", plainservice.Faults{Silent: true}, plainclient.ErrLost, 1},
		{"crossed", plainservice.Faults{Crossed: true}, plainclient.ErrCrossed, 1},
		{"unnamed", plainservice.Faults{Unnamed: true}, plainclient.ErrCrossed, 1},
		{"crossed refusal", plainservice.Faults{Crossed: true, NotRun: true}, plainclient.ErrCrossed, 0},
		{"too large", plainservice.Faults{Excess: maxResponse}, plainclient.ErrTooLarge, 1},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			name := test.name
			if idempotent {
				name += ", pooled"
			}
			t.Run(name, func(t *testing.T) {
				b := newBench(t, 50*time.Millisecond)
				warm := call(true)
				warm.Request = "warm"
				_, err := b.client.Forward(t.Context(), b.upstream, warm)
				require.NoError(t, err)
				b.service.SetFaults(test.faults)
				response, err := b.client.Forward(t.Context(), b.upstream, call(idempotent))
				require.ErrorIs(t, err, test.want)
				assert.Empty(t, response)
				assert.Equal(t, test.executions, b.service.Executions("r1"))
			})
		}
	}
}

func TestRetainCutsNoCall(t *testing.T) {
	b := newBench(t, time.Minute)
	b.service.SetFaults(plainservice.Faults{Slow: 50 * time.Millisecond})
	answered := make(chan error, 1)
	go func() {
		_, err := b.client.Forward(context.Background(), b.upstream, call(true))
		answered <- err
	}()
	for b.service.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.client.Retain(nil)
	require.NoError(t, <-answered)
	_, err := b.client.Forward(t.Context(), b.upstream, call(true))
	require.NoError(t, err)
}

func TestStatusWithoutPromiseIsPassedOn(t *testing.T) {
	b := newBench(t, time.Minute)
	b.service.SetFaults(plainservice.Faults{Unavailable: true})
	response, err := b.client.Forward(t.Context(), b.upstream, call(false))
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.Status)
}

func TestNothingIsSentIfTheConnectionIsRefused(t *testing.T) {
	b := newBench(t, time.Minute)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	b.upstream.Address = netip.MustParseAddrPort(l.Addr().String())
	_, err = b.client.Forward(t.Context(), b.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrNotRun)
}

func TestEndOfTheContext(t *testing.T) {
	b := newBench(t, time.Minute)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := b.client.Forward(ended, b.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrNotRun)
	assert.Zero(t, b.service.TotalExecutions())

	b.service.SetFaults(plainservice.Faults{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for b.service.TotalExecutions() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = b.client.Forward(ctx, b.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrLost)
	require.ErrorIs(t, err, context.Canceled)
}

func TestCloseEndsCalls(t *testing.T) {
	b := newBench(t, time.Minute)
	b.service.SetFaults(plainservice.Faults{Silent: true})
	failed := make(chan error, 1)
	go func() {
		_, err := b.client.Forward(context.Background(), b.upstream, call(false))
		failed <- err
	}()
	for b.service.TotalExecutions() == 0 {
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, b.client.Close())
	require.ErrorIs(t, <-failed, plainclient.ErrLost)
	_, err := b.client.Forward(t.Context(), b.upstream, call(false))
	require.ErrorIs(t, err, plainclient.ErrNotRun)
}

// TestConnectionsOfCalls counts the connections that calls open: each call that
// is not idempotent has its own.
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
		b := newBench(t, time.Minute)
		b.upstream.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		for range 3 {
			_, err := b.client.Forward(t.Context(), b.upstream, call(test.idempotent))
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
	b := newBench(t, time.Minute)
	b.upstream.Address = netip.MustParseAddrPort(l.Addr().String())
	c := call(true) // on a connection that is kept, so that the server's own Connection header comes through
	c.Header.Set("Connection", "keep-alive, X-Secret-Hop")
	c.Header.Set("X-Secret-Hop", "1")
	c.Header.Set("Te", "trailers")
	c.Header.Set("Upgrade", "h2c")
	c.Header.Set(engine.HeaderAttempt, "forged")
	response, err := b.client.Forward(t.Context(), b.upstream, c)
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
