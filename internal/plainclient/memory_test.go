package plainclient_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/answermemory"
	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
)

// TestMemoryOfResponses guards against responses that are read without memory, that are taken for not
// run, and whose memory is not counted or not given back.
func TestMemoryOfResponses(t *testing.T) {
	const limit, size = 1 << 20, 500_000
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", strconv.Itoa(size))
		}
		_, _ = w.Write(make([]byte, size)) // the client may have given up
	}))
	t.Cleanup(service.Close)
	up := configuration.Upstream{ID: "u", Address: netip.MustParseAddrPort(service.Listener.Addr().String())}
	client := plainclient.New(plainclient.Settings{MemoryTimeout: 10 * time.Millisecond})
	t.Cleanup(func() { assert.NoError(t, client.Close()) })
	for _, path := range []string{"/length", "/chunked"} {
		for _, method := range []string{http.MethodPost, http.MethodHead} {
			pool := answermemory.New(limit, time.Now)
			var shares []*answermemory.Share
			var lost error
			for lost == nil && len(shares) < 4 {
				share := pool.Open()
				shares = append(shares, share)
				var response plainclient.Response
				response, lost = client.Forward(context.Background(), up, plainclient.Call{Attempt: "a", Method: method, Path: path, Memory: share})
				if lost == nil && method == http.MethodPost {
					assert.EqualValues(t, size, response.Body.Len(), path)
				}
			}
			if method == http.MethodHead {
				require.NoError(t, lost, path)
				assert.Zero(t, pool.State().Memory, path)
				continue
			}
			require.ErrorIs(t, lost, plainclient.ErrNoMemory, path)
			require.ErrorIs(t, lost, plainclient.ErrResponseLost, path)
			require.False(t, errors.Is(lost, plainclient.ErrNotRun), path)
			assert.EqualValues(t, (len(shares)-1)*size, pool.State().Memory, path)
			assert.Len(t, shares, 3, "one within the limit and one beside it")
			for _, share := range shares {
				share.Done()
			}
			assert.Zero(t, pool.State().Memory, path)
		}
	}
}
