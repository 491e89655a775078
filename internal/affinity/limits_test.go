package affinity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/allowance"
	"example.org/lagoonfork/pkg/ident"
)

func named(upstream ident.Upstream, perSecond float64) allowance.News {
	return allowance.News{Upstream: upstream, Statement: allowance.Statement{Named: true, PerSecond: perSecond}}
}

// TestLimitedUpstreamIsPassedOver guards against requests beyond the limit of an upstream because it is the one of the affinity, the least loaded or the last one left.
func TestLimitedUpstreamIsPassedOver(t *testing.T) {
	table := newTable(3)
	q := Query{Key: 7, RouterCount: 1}
	first := choose(t, table, q)
	_, tell := table.HearLimit(now, now, named(first, 2))
	assert.True(t, tell)
	second := choose(t, table, q)
	assert.NotEqual(t, first, second)
	assert.NotEqual(t, first, choose(t, table, Query{}))

	for _, u := range testUpstreams(3) {
		if u.ID != first {
			table.Begin(u.ID)
			table.End(now, u.ID, Failed)
		}
	}
	assert.NotEqual(t, first, choose(t, table, q), "upstreams after a failure come before limits are exceeded")
	for _, u := range testUpstreams(3) {
		if u.ID != first {
			q.Exclude = append(q.Exclude, u.ID)
		}
	}
	_, ok := table.Choose(now, q)
	assert.False(t, ok)
	wait, limited := table.Wait(now, q)
	assert.True(t, limited)
	assert.Equal(t, 500*time.Millisecond, wait)
	u, ok := table.Choose(now.Add(wait), q)
	assert.True(t, ok)
	assert.Equal(t, first, u.ID)
	_, ok = table.Choose(now.Add(wait), q)
	assert.False(t, ok, "one request for each half of a second")
}

// TestLimitedUpstreamIsNotLeftAlone guards against an upstream that gets no request, and whose limit is never lifted, because the routers that hold it have none for which it is the one of the affinity.
func TestLimitedUpstreamIsNotLeftAlone(t *testing.T) {
	table := newTable(3)
	q := Query{Key: 7, RouterCount: 1}
	first := choose(t, table, q)
	limited := testUpstreams(3)[0].ID
	if limited == first {
		limited = testUpstreams(3)[1].ID
	}
	table.HearLimit(now, now, named(limited, 1))
	sent := 0
	for i := range 200 {
		u, ok := table.Choose(now.Add(time.Duration(i)*50*time.Millisecond), q)
		assert.True(t, ok)
		if u.ID == limited {
			sent++
		}
	}
	assert.GreaterOrEqual(t, sent, 4, "of 10 that it accepts in this time")
	assert.LessOrEqual(t, sent, 10)
}

// TestLimitEndsWithTheIncarnation guards against a limit that outlives the process that named
// it, and against news of an earlier process.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	table := newTable(1)
	table.HearLimit(now, now, named("u0", 0))
	_, ok := table.Choose(now, Query{})
	assert.False(t, ok)
	restarted := testUpstreams(1)
	restarted[0].Incarnation = "2"
	table.Configure(restarted)
	_, tell := table.HearLimit(now, now, named("u0", 0))
	assert.False(t, tell, "the response is from the earlier process")
	table.LearnLimit(now, named("u0", 0))
	_, ok = table.Choose(now, Query{})
	assert.True(t, ok)
}

// TestLimitOutlivesTheRecord guards against requests beyond the limit of an upstream whose record has expired during an outage of the key-value service and is back.
func TestLimitOutlivesTheRecord(t *testing.T) {
	table := newTable(2)
	table.HearLimit(now, now, named("u1", 0))
	table.Configure(testUpstreams(1))
	table.Configure(testUpstreams(2))
	for range 5 {
		table.Begin("u0")
		assert.EqualValues(t, "u0", choose(t, table, Query{}))
	}
	restarted := testUpstreams(2)
	restarted[1].Incarnation = "2"
	table.Configure(testUpstreams(1))
	table.Configure(restarted)
	assert.EqualValues(t, "u1", choose(t, table, Query{}))
}

// TestLimitIsToldOnce guards against calls of all routers for each response of a limited
// upstream.
func TestLimitIsToldOnce(t *testing.T) {
	table := newTable(2)
	at := now
	hear := func(n allowance.News) bool {
		at = at.Add(time.Second)
		_, tell := table.HearLimit(at, at, n)
		return tell
	}
	assert.True(t, hear(named("u0", 10)))
	assert.False(t, hear(named("u0", 10)))
	assert.False(t, hear(named("u0", 10.5)))
	assert.True(t, hear(named("u0", 12)))
	assert.True(t, hear(allowance.News{Upstream: "u0"}))
	assert.False(t, hear(allowance.News{Upstream: "u0"}))
	table.LearnLimit(at, named("u1", 3))
	assert.False(t, hear(named("u1", 3)), "another router has told all of them")
}

func TestReminders(t *testing.T) {
	table := newTable(2)
	assert.Empty(t, table.Reminders(now, alone))
	table.HearLimit(now, now, named("u1", 3))
	assert.Equal(t, []allowance.News{named("u1", 3)}, table.Reminders(now, alone))
}
