package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/gateway"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/fake/keyvalue/keyvaluetest"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/store/storetest"
)

// closedAddress is an address on which nothing listens.
const closedAddress = "http://127.0.0.1:1"

func harness(seed uint64) func(t *testing.T) storetest.Harness {
	return func(t *testing.T) storetest.Harness {
		service := keyvalue.New(keyvalue.Settings{Seed: seed})
		backend := service.Client()
		client := newTestClient(t, gateway.New(backend))
		return keyvaluetest.New(service, backend, client)
	}
}

// newTestClient returns a client whose second address is that of a gateway. Nothing
// listens on the first.
func newTestClient(t *testing.T, handler http.Handler) *Client {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := New(Settings{Addresses: []string{closedAddress, server.URL}, Timeout: 10 * time.Second, MaxResponse: 4 << 20})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

func TestContract(t *testing.T) {
	storetest.Run(t, func(t *testing.T) store.Store { return harness(1)(t).Store })
}

func TestFaults(t *testing.T) {
	storetest.RunFaults(t, harness(1))
}

func TestHistories(t *testing.T) {
	for seed := range uint64(5) {
		storetest.RunHistories(t, seed, harness(seed))
	}
}

// TestOutcomes checks the errors of a read and a write for various responses of the
// gateway.
func TestOutcomes(t *testing.T) {
	for name, tt := range map[string]struct {
		status int
		body   string
		read   error
		write  error
	}{
		"no leader":           {503, `{"code":14,"message":"etcdserver: no leader"}`, store.ErrUnavailable, store.ErrUnavailable},
		"gateway cannot dial": {503, `{"code":14,"message":"connection error: desc = Error while dialing: refused"}`, store.ErrUnavailable, store.ErrUnavailable},
		"timeout inside":      {503, `{"code":14,"message":"etcdserver: request timed out"}`, store.ErrUnavailable, store.ErrUnknown},
		"balancer":            {503, `<html>`, store.ErrUnavailable, store.ErrUnknown},
		"bad gateway":         {502, ``, store.ErrUnavailable, store.ErrUnknown},
		"too many requests":   {429, `{"code":8,"message":"etcdserver: too many requests"}`, store.ErrUnavailable, store.ErrUnavailable},
		"cancelled":           {499, `{"code":1}`, store.ErrUnavailable, store.ErrUnknown},
		"unauthorized":        {401, `{"code":16}`, store.ErrUnavailable, store.ErrUnavailable},
		"too large":           {400, `{"code":3,"message":"etcdserver: request is too large"}`, store.ErrTooLarge, store.ErrTooLarge},
		"no lease":            {404, `{"code":5,"message":"etcdserver: requested lease not found"}`, store.ErrLeaseNotFound, store.ErrLeaseNotFound},
		"cut off":             {200, `{"header":`, store.ErrUnavailable, store.ErrUnknown},
		"wrong type":          {200, `{"header":{"revision":[]}}`, store.ErrUnavailable, store.ErrUnknown},
		"too long":            {200, `{"succeeded":true}` + strings.Repeat(" ", 5<<20), store.ErrUnavailable, store.ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			_, err := client.Get(t.Context(), "a")
			assert.ErrorIs(t, err, tt.read)
			_, err = client.Put(t.Context(), "a", nil, store.Always, store.NoLease)
			assert.ErrorIs(t, err, tt.write)
		})
	}
}

func TestNothingListens(t *testing.T) {
	client, err := New(Settings{Addresses: []string{closedAddress}})
	require.NoError(t, err)
	_, err = client.Put(t.Context(), "a", nil, store.Always, store.NoLease)
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.NotErrorIs(t, err, store.ErrUnknown)
	_, err = client.Put(t.Context(), "a", make([]byte, store.MaxValueSize+1), store.Always, store.NoLease)
	require.ErrorIs(t, err, store.ErrTooLarge, "rejected before it is sent")
	require.NoError(t, client.Close())
}

// TestWriteIsSentOnce checks that a write whose outcome is unknown is not retried at
// the next address, while a read is.
func TestWriteIsSentOnce(t *testing.T) {
	var calls [2]atomic.Int64
	addresses := make([]string, len(calls))
	for i := range calls {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls[i].Add(1)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		addresses[i] = server.URL
	}
	client, err := New(Settings{Addresses: addresses})
	require.NoError(t, err)
	_, err = client.Put(t.Context(), "a", nil, store.Always, store.NoLease)
	require.ErrorIs(t, err, store.ErrUnknown)
	assert.Equal(t, [2]int64{1, 0}, [2]int64{calls[0].Load(), calls[1].Load()})
	_, err = client.Get(t.Context(), "a")
	require.ErrorIs(t, err, store.ErrUnavailable)
	assert.Equal(t, [2]int64{2, 1}, [2]int64{calls[0].Load(), calls[1].Load()})
	require.NoError(t, client.Close())
}

func TestCloseEndsWatches(t *testing.T) {
	client := harness(1)(t).Store.(*Client)
	w, err := client.Watch(t.Context(), "", 0)
	require.NoError(t, err)
	require.NoError(t, client.Close())
	_, err = w.Next(t.Context())
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = client.Watch(t.Context(), "", 0)
	require.ErrorIs(t, err, store.ErrUnavailable)
}

func TestLongWatchMessage(t *testing.T) {
	client := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"result":{"created":true}}` + strings.Repeat(" ", 5<<20)))
	}))
	w, err := client.Watch(t.Context(), "", 0)
	require.NoError(t, err)
	_, err = w.Next(context.Background())
	require.ErrorIs(t, err, errMessageTooLong)
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add(`{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"YQ==","value":"MQ==","mod_revision":"7"}},{"type":"DELETE","kv":{"key":"Yg==","mod_revision":"8"}}]}}`)
	f.Add(`{"result":{"canceled":true,"compact_revision":"9"}}`)
	f.Add(`{"error":{"message":"no"}}`)
	f.Fuzz(func(t *testing.T, message string) {
		batch, err := decodeBatch(json.NewDecoder(strings.NewReader(message)))
		if err != nil {
			known := errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrUnavailable)
			assert.True(t, known, err)
			return
		}
		if n := len(batch.Events); n > 0 {
			assert.Equal(t, batch.Events[n-1].Entry.Revision, batch.Revision)
		}
	})
}

func FuzzStatusError(f *testing.F) {
	f.Add(503, `{"code":14,"message":"etcdserver: request timed out"}`)
	f.Add(404, `{"code":5,"message":"lease"}`)
	f.Fuzz(func(t *testing.T, httpStatus int, body string) {
		require.Error(t, statusError(kindRead, httpStatus, []byte(body)))
		err := statusError(kindWrite, httpStatus, []byte(body))
		if httpStatus >= http.StatusInternalServerError && !json.Valid([]byte(body)) {
			require.ErrorIs(t, err, store.ErrUnknown)
		}
	})
}
