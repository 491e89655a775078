package memorynet

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStop checks what callers of a host see before and after it has stopped.
func TestStop(t *testing.T) {
	for _, fault := range []Fault{Frozen, Dark} {
		synctest.Test(t, func(t *testing.T) {
			var n Network
			_, err := n.Dial(t.Context(), "tcp", "10.0.0.1:1")
			require.ErrorIs(t, err, syscall.ECONNREFUSED)
			l, err := n.Listen("10.0.0.1:1")
			require.NoError(t, err)
			defer l.Close()
			_, err = n.Listen("10.0.0.1:1")
			require.ErrorIs(t, err, errInUse)
			hosts := make(chan net.Conn, 1)
			go func() {
				c, err := l.Accept()
				assert.NoError(t, err)
				hosts <- c
			}()
			c, err := n.Dial(t.Context(), "tcp", "10.0.0.1:1")
			require.NoError(t, err)
			defer c.Close()
			host := <-hosts
			defer host.Close()
			go func() { _, _ = host.Write([]byte("before")) }()
			b := make([]byte, len("before"))
			_, err = io.ReadFull(c, b)
			require.NoError(t, err)
			assert.Equal(t, "before", string(b))

			n.Stop("10.0.0.1:1", fault)
			_, err = c.Write([]byte("lost"))
			require.NoError(t, err)
			go func() { _, _ = host.Write([]byte("after")) }()
			require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
			_, err = c.Read(b)
			require.Error(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			c, err = n.Dial(ctx, "tcp", "10.0.0.1:1")
			if fault == Dark {
				require.ErrorIs(t, err, context.DeadlineExceeded)
				return
			}
			require.NoError(t, err)
			require.NoError(t, c.Close())
		})
	}
}
