package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func post(t *testing.T, ctx context.Context, address, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", strings.NewReader(body))
	require.NoError(t, err)
	return r
}

func drain(t *testing.T, r *http.Response) {
	t.Helper()
	_, err := io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
}

func TestNothingSentIfTheConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	tr := New(Settings{ConnectTimeout: time.Second})
	defer tr.Close()
	for _, mode := range []Mode{Fresh, Pooled} {
		_, sent, err := tr.Do(post(t, t.Context(), l.Addr().String(), "x"), mode)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		assert.False(t, sent)
	}
}

// TestSentOnce uses a server that reads each call and closes the connection without
// a response. No mode may send the call again, even with an Idempotency-Key header,
// which lets net/http repeat a call.
func TestSentOnce(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("Warm") != "" {
			return
		}
		calls.Add(1)
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = c.Close()
		}
	}))
	defer server.Close()
	tr := New(Settings{ConnectTimeout: time.Second})
	defer tr.Close()
	address := server.Listener.Addr().String()
	for i, mode := range []Mode{Fresh, Pooled} {
		warm := post(t, t.Context(), address, "")
		warm.Header.Set("Warm", "1")
		response, _, err := tr.Do(warm, Pooled)
		require.NoError(t, err)
		drain(t, response)
		r := post(t, t.Context(), address, "permit")
		r.Header.Set("Idempotency-Key", "k")
		_, sent, err := tr.Do(r, mode)
		require.Error(t, err)
		assert.True(t, sent)
		assert.EqualValues(t, i+1, calls.Load())
	}
}

// TestDeadPooledConnection checks that a call whose pooled connection fails before
// the first byte is sent on a fresh one, including its body.
func TestDeadPooledConnection(t *testing.T) {
	var lastBody atomic.Pointer[string]
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		body := string(data)
		lastBody.Store(&body)
	}))
	defer server.Close()
	tr := New(Settings{ConnectTimeout: time.Second})
	defer tr.Close()
	address := server.Listener.Addr().String()
	response, _, err := tr.Do(post(t, t.Context(), address, "first"), Pooled)
	require.NoError(t, err)
	drain(t, response)
	tr.mu.Lock()
	for c := range tr.open {
		c.state.Store(sealed) // writes fail before their first byte
	}
	tr.mu.Unlock()
	response, _, err = tr.Do(post(t, t.Context(), address, "second"), Pooled)
	require.NoError(t, err)
	drain(t, response)
	assert.Equal(t, "second", *lastBody.Load())
}

func TestSealedConnectionTakesNoByte(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	tr := New(Settings{})
	c := &conn{Conn: a, transport: tr}
	assert.False(t, c.seal())
	_, err := c.Write([]byte("late"))
	require.ErrorIs(t, err, errSealed)

	c = &conn{Conn: a, transport: tr}
	go func() { _, _ = io.Copy(io.Discard, b) }()
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	assert.True(t, c.seal())
	var next callTrace
	next.gotConn(httptrace.GotConnInfo{Conn: c, Reused: true})
	next.finish()
	assert.False(t, next.sent, "the next call has not written")
}

func TestCancelledWhileAwaitingTheResponse(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	tr := New(Settings{ConnectTimeout: time.Second})
	defer tr.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, sent, err := tr.Do(post(t, ctx, server.Listener.Addr().String(), "x"), Fresh)
	require.ErrorIs(t, err, context.Canceled)
	assert.True(t, sent)
}

func TestClosedTransportDialsNoMore(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, bytes.NewReader([]byte("x")))
	}))
	defer server.Close()
	tr := New(Settings{ConnectTimeout: time.Second})
	response, _, err := tr.Do(post(t, t.Context(), server.Listener.Addr().String(), ""), Pooled)
	require.NoError(t, err)
	drain(t, response)
	tr.Close()
	assert.Zero(t, tr.Connections())
	_, sent, err := tr.Do(post(t, t.Context(), server.Listener.Addr().String(), ""), Pooled)
	require.True(t, errors.Is(err, ErrClosed), "%v", err)
	assert.False(t, sent)
}
