package storetest

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/store"
)

// Fault is an injected failure of the service.
type Fault string

// Faults. Those that affect one write also apply to lease calls.
const (
	// FaultOutage makes the service refuse all calls and end all watches until
	// healed.
	FaultOutage Fault = "outage"
	// FaultResponseLost loses the response to the next write after the write took
	// effect.
	FaultResponseLost Fault = "answer lost"
	// FaultWriteLost loses the next write before it takes effect.
	FaultWriteLost Fault = "write lost"
	// FaultWriteHeld loses the response to the next write and delays its effect
	// until Harness.Release.
	FaultWriteHeld Fault = "write held"
	// FaultSlow makes each call take longer than Harness.Short until healed.
	FaultSlow Fault = "slow"
	// FaultLossy loses some writes and some responses at random until healed. A
	// write takes effect before its call returns, or never.
	FaultLossy Fault = "lossy"
)

// Harness is a store with control over the faults and the clock of its service.
type Harness struct {
	Store store.Store
	// Inject injects a fault.
	Inject func(f Fault)
	// Heal ends all faults.
	Heal func()
	// Release applies the writes delayed by FaultWriteHeld.
	Release func()
	// Advance moves the clock of the service forward.
	Advance func(d time.Duration)
	// Compact discards the history of all changes so far.
	Compact func()
	// Short is a timeout within which a call completes without FaultSlow and does
	// not complete with it.
	Short time.Duration
}

// faultCase is a call during a fault, with the expected error.
type faultCase struct {
	fault   Fault
	call    string
	run     func(c *testCase, ctx context.Context) error
	want    error
	applied bool // whether the write has taken effect after Release
}

// RunFaults runs the cases that need failures of the service. The function
// open returns a harness with an empty store.
func RunFaults(t *testing.T, open func(t *testing.T) Harness) {
	for _, tt := range faultCases() {
		t.Run(string(tt.fault)+"/"+tt.call, func(t *testing.T) {
			h := open(t)
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			tt.check(&testCase{T: t, ctx: ctx, store: h.Store}, h)
		})
	}
	for _, tt := range []struct {
		name string
		run  func(c *testCase, h Harness)
	}{
		{"outage ends watches", (*testCase).outageEndsWatch},
		{"leases lapse during an outage", (*testCase).outageExpiresLease},
		{"lease lapses", (*testCase).leaseExpires},
		{"compaction", (*testCase).compaction},
		{"held write meets a later one", (*testCase).heldWriteConflict},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := open(t)
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			tt.run(&testCase{T: t, ctx: ctx, store: h.Store}, h)
		})
	}
}

// faultCases returns the combinations of faults and calls. Before each call the
// entry "a" has the value "old" and no lease.
func faultCases() []faultCase {
	read := func(c *testCase, ctx context.Context) error {
		_, err := c.store.Get(ctx, "a")
		return err
	}
	list := func(c *testCase, ctx context.Context) error {
		_, _, err := c.store.List(ctx, "")
		return err
	}
	watch := func(c *testCase, ctx context.Context) error {
		_, err := c.store.Watch(ctx, "", 0)
		return err
	}
	put := func(c *testCase, ctx context.Context) error {
		_, err := c.store.Put(ctx, "a", []byte("new"), store.Always, store.NoLease)
		return err
	}
	remove := func(c *testCase, ctx context.Context) error {
		return c.store.Delete(ctx, "a", store.Always)
	}
	grant := func(c *testCase, ctx context.Context) error {
		_, err := c.store.Grant(ctx, leaseTTL)
		return err
	}
	return []faultCase{
		{FaultOutage, "get", read, store.ErrUnavailable, false},
		{FaultOutage, "list", list, store.ErrUnavailable, false},
		{FaultOutage, "watch", watch, store.ErrUnavailable, false},
		{FaultOutage, "put", put, store.ErrUnavailable, false},
		{FaultOutage, "delete", remove, store.ErrUnavailable, false},
		{FaultOutage, "grant", grant, store.ErrUnavailable, false},
		{FaultResponseLost, "put", put, store.ErrUnknown, true},
		{FaultResponseLost, "delete", remove, store.ErrUnknown, true},
		{FaultResponseLost, "grant", grant, store.ErrUnknown, false},
		{FaultResponseLost, "get", read, nil, false},
		{FaultWriteLost, "put", put, store.ErrUnknown, false},
		{FaultWriteLost, "delete", remove, store.ErrUnknown, false},
		{FaultWriteHeld, "put", put, store.ErrUnknown, true},
		{FaultWriteHeld, "delete", remove, store.ErrUnknown, true},
		{FaultSlow, "get", read, store.ErrUnavailable, false},
		{FaultSlow, "list", list, store.ErrUnavailable, false},
		{FaultSlow, "watch", watch, store.ErrUnavailable, false},
		{FaultSlow, "put", put, store.ErrUnknown, true},
	}
}

func (tt faultCase) check(c *testCase, h Harness) {
	c.put("a", "old", store.Always, store.NoLease)
	ctx := c.ctx
	h.Inject(tt.fault)
	if tt.fault == FaultSlow {
		short, cancel := context.WithTimeout(c.ctx, h.Short)
		defer cancel()
		ctx = short
	}
	require.ErrorIs(c, tt.run(c, ctx), tt.want)
	h.Heal()
	h.Release()
	if tt.applied {
		changed := func() bool { return string(c.get("a").Value) != "old" }
		require.Eventually(c, changed, caseTimeout, time.Millisecond)
		return
	}
	assert.Equal(c, "old", string(c.get("a").Value))
}

func (c *testCase) outageEndsWatch(h Harness) {
	w := c.watch("", 0)
	c.put("a", "", store.Always, store.NoLease)
	_, reached := c.collect(w, 1)
	h.Inject(FaultOutage)
	_, err := w.Next(c.ctx)
	require.ErrorIs(c, err, store.ErrUnavailable)
	h.Heal()
	c.put("a", "", store.Always, store.NoLease)
	c.collect(c.watch("", reached), 1)
}

func (c *testCase) outageExpiresLease(h Harness) {
	lease := c.grant()
	c.put("a", "", store.Always, lease)
	h.Inject(FaultOutage)
	h.Advance(2 * leaseTTL)
	h.Heal()
	require.ErrorIs(c, c.store.KeepAlive(c.ctx, lease), store.ErrLeaseNotFound)
	assert.Zero(c, c.get("a").Revision)
}

func (c *testCase) leaseExpires(h Harness) {
	lease := c.grant()
	r := c.put("a", "", store.Always, lease)
	w := c.watch("", r)
	h.Advance(leaseTTL * 3 / 4)
	require.NoError(c, c.store.KeepAlive(c.ctx, lease))
	h.Advance(leaseTTL * 3 / 4)
	assert.Equal(c, r, c.get("a").Revision)
	h.Advance(leaseTTL)
	events, _ := c.collect(w, 1)
	assert.True(c, events[0].Deleted)
	require.ErrorIs(c, c.store.KeepAlive(c.ctx, lease), store.ErrLeaseNotFound)
	c.putFails("a", store.Always, lease, store.ErrLeaseNotFound)
}

func (c *testCase) compaction(h Harness) {
	first := c.put("a", "", store.Always, store.NoLease)
	c.put("a", "", store.Always, store.NoLease)
	h.Compact()
	w, err := c.store.Watch(c.ctx, "", first)
	if err == nil {
		_, err = w.Next(c.ctx)
		require.NoError(c, w.Close())
	}
	require.ErrorIs(c, err, store.ErrCompacted)

	_, listed, err := c.store.List(c.ctx, "")
	require.NoError(c, err)
	last := c.put("a", "", store.Always, store.NoLease)
	events, _ := c.collect(c.watch("", listed), 1)
	assert.Equal(c, last, events[0].Entry.Revision)
}

func (c *testCase) heldWriteConflict(h Harness) {
	r := c.put("a", "old", store.Always, store.NoLease)
	h.Inject(FaultWriteHeld)
	c.putFails("a", store.If(r), store.NoLease, store.ErrUnknown)
	c.put("a", "new", store.If(r), store.NoLease)
	h.Release()
	assert.Equal(c, "new", string(c.get("a").Value))
}
