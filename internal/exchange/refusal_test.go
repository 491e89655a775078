package exchange

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRefuses(t *testing.T) {
	p := NewPool(Settings{Clock: time.Now})
	t.Cleanup(p.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(l.Addr().String())
	refuses, err := p.Refuses(t.Context(), address)
	require.NoError(t, err)
	assert.False(t, refuses)
	require.NoError(t, l.Close())
	refuses, err = p.Refuses(t.Context(), address)
	require.NoError(t, err)
	assert.True(t, refuses)
}

// TestRefusesWhileConnectionsOutliveTheListener guards against an upstream that is taken for
// running because it closes its listener after its connections.
func TestRefusesWhileConnectionsOutliveTheListener(t *testing.T) {
	p := NewPool(Settings{Clock: time.Now})
	t.Cleanup(p.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		if c, err := l.Accept(); err == nil {
			_ = l.Close()
			_ = c.Close()
		}
	}()
	refuses, err := p.Refuses(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	require.NoError(t, err)
	assert.True(t, refuses)
}
