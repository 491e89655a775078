package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newService(n int) configuration.Service {
	s := configuration.Service{ID: "llm", Kind: configuration.KindEngine}
	for i := range n {
		s.Upstreams = append(s.Upstreams, configuration.Upstream{
			ID:            ident.Upstream(fmt.Sprintf("u%d", i)),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%3)),
			Region:        "r",
			Slots:         8,
		})
	}
	return s
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestChooseAvoidsUnavailable(t *testing.T) {
	tests := []struct {
		name  string
		setup func(t *Table)
		query Query
	}{
		{"leaving by list", func(t *Table) { t.SetLeaving("u0", SourceList, true) }, Query{}},
		{"leaving by report", func(t *Table) {
			t.ApplyReport("u0", LoadReport{AsOf: testTime, Leaving: true})
		}, Query{}},
		{"leaving by list although a newer report says otherwise", func(t *Table) {
			t.SetLeaving("u0", SourceList, true)
			t.ApplyReport("u0", LoadReport{AsOf: testTime})
		}, Query{}},
		{"failed", func(t *Table) { t.RecordFailure(testTime, "u0") }, Query{}},
		{"model not loaded", func(t *Table) {
			t.ApplyReport("u0", LoadReport{AsOf: testTime, Models: []ident.Model{"other"}})
		}, Query{Model: "m"}},
		{"excluded", func(*Table) {}, Query{Exclude: []ident.Upstream{"u0"}}},
		{"isolated beside a suspect", func(t *Table) { t.Start(testTime, "u0", 10, true) }, Query{Isolate: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable(newService(2), Location{FailureDomain: "d0", Region: "r"})
			tt.setup(table)
			r := newRand()
			for range 50 {
				d, err := table.Choose(testTime, tt.query, r)
				require.NoError(t, err)
				assert.Equal(t, ident.Upstream("u1"), d.Upstream.ID)
			}
		})
	}
}

func TestChooseNoUpstream(t *testing.T) {
	table := NewTable(newService(2), Location{})
	table.SetLeaving("u0", SourceList, true)
	table.SetLeaving("u1", SourceOperator, true)
	_, err := table.Choose(testTime, Query{}, newRand())
	assert.ErrorIs(t, err, ErrNoUpstream)
}

func TestChooseDisregardsPausesWhenAllFailed(t *testing.T) {
	table := NewTable(newService(3), Location{})
	table.SetLeaving("u0", SourceList, true)
	table.RecordFailure(testTime, "u1")
	table.RecordFailure(testTime, "u2")
	d, err := table.Choose(testTime, Query{}, newRand())
	require.NoError(t, err)
	assert.Equal(t, ReasonAllPaused, d.Reason)
	assert.NotEqual(t, ident.Upstream("u0"), d.Upstream.ID, "a leaving upstream is never chosen")
	d, err = table.Choose(testTime.Add(maxPause), Query{}, newRand())
	require.NoError(t, err)
	assert.Equal(t, ReasonLeastWait, d.Reason, "a failed upstream is tried again after a while")
}

func TestChoosePrefersCachedPrefixUntilItsQueueIsLong(t *testing.T) {
	table := NewTable(newService(20), Location{FailureDomain: "d0", Region: "r"})
	q := Query{PromptTokens: 1024, MaxOutputTokens: 100, Prefix: PrefixOf(string(make([]byte, 4096)))}
	table.ExpectCached("u4", q.Prefix)
	d, err := table.Choose(testTime, q, newRand())
	require.NoError(t, err)
	assert.Equal(t, ident.Upstream("u4"), d.Upstream.ID)
	assert.Equal(t, ReasonPrefixCached, d.Reason)

	table.Start(testTime, "u4", 100_000, false)
	d, err = table.Choose(testTime, q, newRand())
	require.NoError(t, err)
	assert.NotEqual(t, ident.Upstream("u4"), d.Upstream.ID)
}

func TestCacheEventGapForgets(t *testing.T) {
	table := NewTable(newService(20), Location{})
	q := Query{PromptTokens: 1024, Prefix: PrefixOf(string(make([]byte, 4096)))}
	prefixCached := func() bool {
		d, err := table.Choose(testTime, q, newRand())
		require.NoError(t, err)
		return d.Reason == ReasonPrefixCached
	}
	table.ApplyCacheEvent("u4", CacheEvent{Sequence: 1, Prefix: q.Prefix})
	assert.True(t, prefixCached())
	table.ApplyCacheEvent("u4", CacheEvent{Sequence: 2, Prefix: "other"})
	assert.True(t, prefixCached())
	table.ApplyCacheEvent("u4", CacheEvent{Sequence: 4, Prefix: "other"})
	assert.False(t, prefixCached(), "event 3 may have been the eviction")
	table.ApplyCacheEvent("u4", CacheEvent{Sequence: 5, Prefix: q.Prefix})
	assert.True(t, prefixCached())
	table.ApplyCacheEvent("u4", CacheEvent{Sequence: 6, Prefix: q.Prefix, Evicted: true})
	assert.False(t, prefixCached())
}

func TestOlderReportIsIgnored(t *testing.T) {
	table := NewTable(newService(1), Location{})
	table.ApplyReport("u0", LoadReport{Backlog: 7, AsOf: testTime.Add(time.Second)})
	table.ApplyReport("u0", LoadReport{Backlog: 900, AsOf: testTime, Leaving: true})
	assert.EqualValues(t, 7, table.Status()[0].ReportedTokens)
	assert.False(t, table.Status()[0].Leaving)
}

func TestFinishTwiceCountsOnce(t *testing.T) {
	table := NewTable(newService(1), Location{})
	w := table.Start(testTime, "u0", 70, true)
	table.Finish(testTime, w, Observation{})
	table.Finish(testTime, w, Observation{})
	status := table.Status()[0]
	assert.Zero(t, status.OutstandingTokens)
	assert.Zero(t, status.Running)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 200, 1100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			table := NewTable(newService(n), Location{FailureDomain: "d0", Region: "r"})
			for _, u := range table.Upstreams() {
				table.ApplyReport(u.ID, LoadReport{Backlog: 100, AsOf: testTime})
			}
			q := Query{PromptTokens: 1024, MaxOutputTokens: 100, Prefix: PrefixOf(string(make([]byte, 4096)))}
			r := newRand()
			b.ReportAllocs()
			for b.Loop() {
				d, err := table.Choose(testTime, q, r)
				if err != nil {
					b.Fatal(err)
				}
				w := table.Start(testTime, d.Upstream.ID, 100, false)
				table.Finish(testTime, w, Observation{TimePerToken: time.Millisecond})
			}
		})
	}
}
