package peerclient

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/slowlink"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
)

// oneMember is a fleet with one other router.
type oneMember struct {
	Members
	address netip.AddrPort
}

func (m oneMember) Peers(time.Time) []membership.Member {
	return []membership.Member{{Record: membership.Record{VM: "vm-2", Address: m.address}}}
}

// TestLargePartIsReadOverSlowLink guards against a part of the configuration that is cut
// off, and requested anew for ever, because it takes longer than the timeout of a call.
func TestLargePartIsReadOverSlowLink(t *testing.T) {
	const bandwidth = 256 << 10 // bytes per second
	part := make([]byte, bandwidth/2)
	for i := range part {
		part[i] = byte(rand.Uint32())
	}
	want, err := json.Marshal(part)
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(want) }))
	server.Listener = slowlink.New(server.Listener, bandwidth)
	server.Start()
	defer server.Close()
	c := New(Settings{
		Members: oneMember{address: netip.MustParseAddrPort(server.Listener.Addr().String())},
		Self:    "vm-1-a", Timeout: 200 * time.Millisecond, Clock: time.Now,
	})
	defer func() { require.NoError(t, c.Close()) }()
	got, err := c.ConfigurationPart(t.Context(), ident.VM("vm-2"), "digest")
	require.NoError(t, err)
	assert.Equal(t, len(want), len(got))
}
