package engineclient_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/engine"
)

func TestReports(t *testing.T) {
	b := newHarness(t, fake.Settings{Slots: 3, Models: []engine.LoadedModel{{Model: "m", Version: "1"}}})
	run := newRun("cached", "a prompt of some length", 4)
	run.CacheKey = "key"
	require.NoError(t, b.run(t, run).err)

	l, err := b.client.Load(t.Context(), b.upstream)
	require.NoError(t, err)
	assert.Equal(t, 3, l.Slots)
	models, err := b.client.Models(t.Context(), b.upstream)
	require.NoError(t, err)
	require.Len(t, models.Data, 1)
	assert.EqualValues(t, "m", models.Data[0].ID)
	events, err := b.client.CacheEvents(t.Context(), b.upstream, 0)
	require.NoError(t, err)
	require.Len(t, events, 1)
	assert.Equal(t, "key", events[0].Key)
}

func TestCacheMoves(t *testing.T) {
	from, to := newHarness(t, fake.Settings{}), newHarness(t, fake.Settings{})
	run := newRun("cached", "a prompt of some length", 4)
	run.CacheKey = "key"
	require.NoError(t, from.run(t, run).err)
	entry, err := from.client.ExportCache(t.Context(), from.upstream, "key")
	require.NoError(t, err)
	require.NoError(t, to.client.ImportCache(t.Context(), to.upstream, entry))
	a := to.run(t, run)
	require.NotNil(t, a.usage)
	assert.Equal(t, a.usage.PromptTokens, a.usage.Details.CachedTokens)
}

func TestOrders(t *testing.T) {
	b := newHarness(t, fake.Settings{ChecksFencing: true})
	order := engine.Order{FencingNumber: 5, Kind: engine.OrderLoadModel, Model: "m", Version: "2"}
	require.NoError(t, b.client.Order(t.Context(), b.upstream, order))
	order.FencingNumber = 4
	require.ErrorIs(t, b.client.Order(t.Context(), b.upstream, order), engineclient.ErrStaleOrder)
	require.ErrorIs(t, b.client.Order(t.Context(), b.upstream, engine.Order{}), engineclient.ErrRefused)
	assert.Len(t, b.engine.Orders(), 1)
	b.engine.Crash()
	require.ErrorIs(t, b.client.Order(t.Context(), b.upstream, order), engineclient.ErrNotRun)
	require.NoError(t, b.engine.Restart())
	b.engine.SetFaults(fake.Faults{Silent: true})
	ctx, cancel := contextWithTimeout(t)
	defer cancel()
	require.ErrorIs(t, b.client.Order(ctx, b.upstream, order), engineclient.ErrResponseLost)
}

func TestCancel(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: silenceLimit / 4})
	prompt := fake.WithLength("long", 100_000)
	s, err := b.client.Start(t.Context(), b.upstream, newRun("cancelled", prompt, 100_000))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	_, err = s.Next(t.Context())
	require.NoError(t, err)
	require.NoError(t, b.client.Cancel(t.Context(), b.upstream, "r-cancelled"))
	a := readAnswer(t, s)
	require.ErrorIs(t, a.err, engineclient.ErrResponseLost)
	require.NotErrorIs(t, a.err, engineclient.ErrCrashed)
	require.NoError(t, b.client.Cancel(t.Context(), b.upstream, "r-cancelled"), "again")
	require.NoError(t, b.client.Cancel(t.Context(), b.upstream, "r-unknown"))
}
