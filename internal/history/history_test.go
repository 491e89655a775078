package history

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/internal/delta"
	"example.org/lagoonfork/pkg/store"
)

func version(r store.Revision) store.Entry {
	return store.Entry{Key: "k", Revision: r, Value: fmt.Appendf(nil, "the value at revision %d", r)}
}

// add adds the delta from one version to another.
func add(t require.TestingT, h *History, from, to store.Revision) {
	d, err := delta.New(version(from), version(to))
	require.NoError(t, err)
	h.Add("k", d)
}

// checkSince checks that the deltas since the version held lead to the version newest.
func checkSince(t require.TestingT, h *History, newest, held store.Revision) (deltas []delta.Delta) {
	deltas, err := h.Since(version(newest), held)
	require.NoError(t, err)
	require.NotEmpty(t, deltas)
	e := store.Entry{Key: "k"}
	if deltas[0].From != 0 {
		e = version(held)
	}
	for _, d := range deltas {
		e, err = d.Apply(e)
		require.NoError(t, err)
	}
	require.Equal(t, version(newest), e)
	return deltas
}

func TestDeltasLeadFromTheVersionHeld(t *testing.T) {
	var h History
	assert.Len(t, checkSince(t, &h, 3, 0), 1)
	add(t, &h, 3, 5)
	add(t, &h, 5, 9)
	assert.Len(t, checkSince(t, &h, 9, 3), 2)
	assert.Len(t, checkSince(t, &h, 9, 5), 1)
	assert.Zero(t, checkSince(t, &h, 9, 4)[0].From, "a version that is not known")
	assert.Zero(t, checkSince(t, &h, 12, 5)[0].From, "the newest version was not added")
	add(t, &h, 12, 15)
	assert.Zero(t, checkSince(t, &h, 15, 9)[0].From, "a version is missing in between")
	assert.EqualValues(t, 12, checkSince(t, &h, 15, 12)[0].From)
	h.Drop("k")
	assert.Zero(t, checkSince(t, &h, 15, 12)[0].From)
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for r := store.Revision(1); r < 3*maxDeltas; r++ {
		add(t, &h, r, r+1)
	}
	assert.Len(t, h.recent["k"], maxDeltas)
	h.Add("k", delta.Delta{From: 3 * maxDeltas, To: 3*maxDeltas + 1, Frame: make([]byte, maxBytes+1)})
	assert.Empty(t, h.recent["k"])
}

func TestAnyHistoryLeadsToTheNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		newest := store.Revision(1)
		for _, skipped := range rapid.SliceOf(rapid.Bool()).Draw(t, "skipped") {
			next := newest + store.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
			if !skipped {
				add(t, &h, newest, next)
			}
			newest = next
			checkSince(t, &h, newest, store.Revision(rapid.IntRange(1, int(newest)).Draw(t, "held")))
		}
	})
}
