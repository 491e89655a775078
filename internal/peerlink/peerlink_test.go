package peerlink

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/store"
)

func TestPost(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"answered", 200, `{"n":7}`, nil},
		{"refused", 503, ``, store.ErrUnavailable},
		{"failed", 500, ``, store.ErrUnknown},
		{"unreadable", 200, `{`, store.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			requests := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				requests++
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer s.Close()
			address := netip.MustParseAddrPort(s.Listener.Addr().String())
			now := time.Unix(1000, 0)
			l := New(Settings{Timeout: 10 * time.Second, Clock: func() time.Time { return now }})
			defer l.Close()
			var result struct{ N int }
			post := func() error { return l.Post(t.Context(), address, "/x", struct{}{}, &result) }
			if tt.want == nil {
				require.NoError(t, post())
				assert.Equal(t, 7, result.N)
				return
			}
			require.ErrorIs(t, post(), tt.want)
			require.ErrorIs(t, post(), store.ErrUnavailable)
			assert.Equal(t, 1, requests, "the peer is in backoff")
			now = now.Add(backoff)
			require.ErrorIs(t, post(), tt.want)
			assert.Equal(t, 2, requests)
		})
	}
}

func TestPostToClosedPort(t *testing.T) {
	s := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	s.Close()
	l := New(Settings{Timeout: 10 * time.Second, Clock: time.Now})
	defer l.Close()
	assert.ErrorIs(t, l.Post(t.Context(), address, "/x", 1, new(int)), store.ErrUnavailable)
}
