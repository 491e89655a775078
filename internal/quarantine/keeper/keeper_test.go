package keeper

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
)

const (
	waitFor = 5 * time.Second
	tick    = 5 * time.Millisecond
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newKeeper(t *testing.T, s store.Store) *Keeper {
	k := New(Settings{
		Store:    s,
		Clock:    func() time.Time { return now },
		Log:      hclog.NewNullLogger(),
		Interval: tick,
	})
	t.Cleanup(func() { assert.NoError(t, k.Close()) })
	return k
}

func TestAccusationsAddUpOverRouters(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	a := newKeeper(t, service.Client())
	b := newKeeper(t, service.Client())
	c := newKeeper(t, service.Client())
	a.Accuse(now, "d", "u1")
	b.Accuse(now, "d", "u2")
	assert.Eventually(t, func() bool { return c.Refused(now, "d", 2) }, waitFor, tick)
	c.Clear("d")
	assert.Eventually(t, func() bool { return !a.Suspect(now, "d") && !b.Suspect(now, "d") }, waitFor, tick)
}

func TestOwnAccusationsStandDuringAnOutage(t *testing.T) {
	service := keyvalue.New(keyvalue.Settings{})
	client := service.Client()
	client.SetFaults(keyvalue.Faults{Outage: true})
	a := newKeeper(t, client)
	other := newKeeper(t, service.Client())
	a.Accuse(now, "d", "u1")
	assert.True(t, a.Suspect(now, "d"))
	assert.False(t, other.Suspect(now, "d"))
	client.SetFaults(keyvalue.Faults{})
	assert.Eventually(t, func() bool { return other.Suspect(now, "d") }, waitFor, tick)
}
