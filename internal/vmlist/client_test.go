package vmlist_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	fake "example.org/lagoonfork/internal/fake/vmlist"
	"example.org/lagoonfork/internal/vmlist"
)

// newTestClient returns a client of a server on which handler serves /vms.
func newTestClient(t *testing.T, handler http.Handler) *vmlist.Client {
	mux := http.NewServeMux()
	mux.Handle("GET /vms", handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := vmlist.NewClient(vmlist.Settings{URL: server.URL})
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

// TestListLags checks that a change appears in the list only after the list's lag.
func TestListLags(t *testing.T) {
	list := fake.New(fake.Settings{Lag: time.Minute})
	client := newTestClient(t, list)
	vm := vmlist.VM{
		ID:            "vm-1",
		Address:       netip.MustParseAddrPort("127.0.0.1:7000"),
		FailureDomain: "a",
		Region:        "sk-central",
		State:         vmlist.StateLive,
	}
	leaving := vm
	leaving.State = vmlist.StateLeaving
	steps := []struct {
		change func()
		want   []vmlist.VM
	}{
		{func() { list.Put(vm) }, []vmlist.VM{}},
		{func() { list.Advance(time.Minute) }, []vmlist.VM{vm}},
		{func() { list.Put(leaving) }, []vmlist.VM{vm}},
		{func() { list.Advance(time.Minute) }, []vmlist.VM{leaving}},
		{func() { list.Remove(vm.ID) }, []vmlist.VM{leaving}},
		{func() { list.Advance(time.Minute) }, []vmlist.VM{}},
	}
	for i, step := range steps {
		step.change()
		got, err := client.List(t.Context())
		require.NoError(t, err)
		assert.Equal(t, step.want, got, "step %d", i)
	}
	list.SetOutage(true)
	_, err := client.List(t.Context())
	require.Error(t, err)
}

func TestMalformedLists(t *testing.T) {
	for name, body := range map[string]string{
		"syntax":  `[{`,
		"id":      `[{"id":"a/b","address":"127.0.0.1:1","state":"live"}]`,
		"address": `[{"id":"a","state":"live"}]`,
		"state":   `[{"id":"a","address":"127.0.0.1:1","state":"away"}]`,
		"length":  `[]` + strings.Repeat(" ", 9<<20),
	} {
		client := newTestClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
		}))
		_, err := client.List(t.Context())
		assert.Error(t, err, name)
	}
}
