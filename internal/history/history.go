// Package history keeps the differences between the recent versions of large entries, so
// that a router which holds an earlier version can be sent what has changed since.
//
// # Usage
//
//	var h history.History
//	h.Add(key, d)                       // at each new version
//	deltas, err := h.Since(entry, held) // the newest version, from the one that is held
package history

import (
	"slices"

	"example.org/lagoonfork/internal/delta"
	"example.org/lagoonfork/pkg/store"
)

const (
	// maxDeltas and maxBytes bound the deltas that are kept of one entry.
	maxDeltas = 32
	maxBytes  = 256 << 10
)

// History holds the deltas of entries. The zero value is empty. It is not safe for
// concurrent use.
type History struct {
	recent map[string][]delta.Delta // consecutive, the oldest first
	whole  map[string]delta.Delta   // from nothing to the newest version that was asked for
}

// Add adds the delta to a newer version of the entry. If it does not begin at the version
// to which the last one led, the earlier ones are dropped.
func (h *History) Add(key string, d delta.Delta) {
	if h.recent == nil {
		h.recent = make(map[string][]delta.Delta)
	}
	recent := h.recent[key]
	if n := len(recent); n > 0 && recent[n-1].To != d.From {
		recent = nil
	}
	recent = append(recent, d)
	for len(recent) > maxDeltas || size(recent) > maxBytes {
		recent = recent[1:]
	}
	h.recent[key] = recent
}

// Since returns deltas that lead from the version held to e, which is the newest version
// of its entry. If these are not known, it returns one that begins at nothing.
func (h *History) Since(e store.Entry, held store.Revision) (deltas []delta.Delta, err error) {
	recent := h.recent[e.Key]
	first := slices.IndexFunc(recent, func(d delta.Delta) bool { return d.From == held })
	if first >= 0 && recent[len(recent)-1].To == e.Revision {
		return slices.Clone(recent[first:]), nil
	}
	if whole, ok := h.whole[e.Key]; ok && whole.To == e.Revision {
		return []delta.Delta{whole}, nil
	}
	whole, err := delta.New(store.Entry{}, e)
	if err != nil {
		return nil, err
	}
	if h.whole == nil {
		h.whole = make(map[string]delta.Delta)
	}
	h.whole[e.Key] = whole
	return []delta.Delta{whole}, nil
}

// Drop drops the deltas of an entry that was deleted.
func (h *History) Drop(key string) {
	delete(h.recent, key)
	delete(h.whole, key)
}

// size returns the total size of the deltas in bytes.
func size(deltas []delta.Delta) (n int) {
	for _, d := range deltas {
		n += len(d.Frame)
	}
	return n
}
