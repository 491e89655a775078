package embedded

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStopAnswersARequestWhoseHeadIsBeingRead guards against a request to a stopping router that is
// cut off because its connection is idle until the whole head has been read.
func TestStopAnswersARequestWhoseHeadIsBeingRead(t *testing.T) {
	const first, rest = "GET /unknown HTTP/1.1\r\nHost: h\r\nX-", "Rest: r\r\n\r\n"
	for _, endpoint := range []string{"callers", "peers"} {
		t.Run(endpoint, func(t *testing.T) {
			d := start(t, 2, func(*Settings) {})
			router := d.Routers[0]
			address := map[string]netip.AddrPort{"callers": router.CallerAddress(), "peers": router.PeerAddress()}[endpoint]
			c, err := net.Dial("tcp", address.String())
			require.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
			responses := bufio.NewReader(c)
			exchange := func(text string) (status int) {
				_, err := io.WriteString(c, text)
				require.NoError(t, err)
				response, err := http.ReadResponse(responses, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				return response.StatusCode
			}
			status := exchange(first + rest)
			_, err = io.WriteString(c, first)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // long enough to be read; else the test shows nothing

			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			closed := make(chan error, 1)
			go func() { closed <- router.Close(ctx) }()
			assert.Never(t, func() bool { return len(closed) > 0 }, 200*time.Millisecond, 10*time.Millisecond, "a request arrives")
			assert.Equal(t, status, exchange(rest))
			assert.NoError(t, <-closed)
			d.Routers, d.Clients = d.Routers[1:], d.Clients[1:]
		})
	}
}
