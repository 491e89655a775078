package engine

import (
	"slices"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/tokens"
)

// maxCacheEvents is the number of cache events kept; older ones are removed.
const maxCacheEvents = 1024

// prefixCache holds the latest prompt of each cache key, up to a capacity in
// tokens. It evicts the least recently used entries.
type prefixCache struct {
	capacity  tokens.Count
	dropEvery int          // lose every n-th event; 0 for none
	used      tokens.Count // size of all entries
	entries   []cacheEntry // least recently used first
	events    []cacheEvent
	sequence  uint64 // number of the last event, lost ones included
}

type cacheEntry struct {
	key, prompt string
}

// cacheEvent is an event with the time at which it occurred.
type cacheEvent struct {
	wire.CacheEvent
	at time.Time
}

// lookupAndStore returns how many leading tokens of the prompt are cached under
// key, then stores the prompt under key. An empty key disables the cache.
func (c *prefixCache) lookupAndStore(key, prompt string, now time.Time) (cached tokens.Count) {
	if key == "" {
		return 0
	}
	if i := c.index(key); i >= 0 {
		cached = commonPrefixTokens(c.entries[i].prompt, prompt)
		c.remove(i)
	}
	c.store(key, prompt, now)
	return cached
}

func (c *prefixCache) index(key string) int {
	return slices.IndexFunc(c.entries, func(e cacheEntry) bool { return e.key == key })
}

// store adds an entry and evicts older ones to make room. A prompt larger than
// the capacity is not stored.
func (c *prefixCache) store(key, prompt string, now time.Time) {
	size := PromptTokens(prompt)
	if size > c.capacity {
		return
	}
	for c.used+size > c.capacity {
		oldest := c.entries[0]
		c.remove(0)
		c.recordEvent(wire.CacheEvicted, oldest, now)
	}
	e := cacheEntry{key: key, prompt: prompt}
	c.entries = append(c.entries, e)
	c.used += size
	c.recordEvent(wire.CacheStored, e, now)
}

func (c *prefixCache) remove(i int) {
	c.used -= PromptTokens(c.entries[i].prompt)
	c.entries = slices.Delete(c.entries, i, i+1)
}

func (c *prefixCache) clear() {
	c.entries = nil
	c.used = 0
}

// recordEvent appends an event. If the event is one of those to lose, it only
// uses up the sequence number, which leaves a gap.
func (c *prefixCache) recordEvent(kind wire.CacheEventKind, e cacheEntry, now time.Time) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	event := wire.CacheEvent{Sequence: c.sequence, Kind: kind, Key: e.key, Tokens: PromptTokens(e.prompt)}
	c.events = append(c.events, cacheEvent{event, now})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, 1)
	}
}

// since returns the events with a sequence number above after that occurred no
// later than until.
func (c *prefixCache) since(after uint64, until time.Time) []wire.CacheEvent {
	events := []wire.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(until) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

// commonPrefixTokens returns the number of leading tokens of b that a shares.
// Only whole tokens count, unless a begins with all of b.
func commonPrefixTokens(a, b string) tokens.Count {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	if n == len(b) {
		return PromptTokens(b)
	}
	return tokens.Count(n / bytesPerToken)
}

// FlushCache empties the prefix cache without recording eviction events.
func (e *Engine) FlushCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// Cached returns the number of tokens cached under key.
func (e *Engine) Cached(key string) tokens.Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.cache.index(key)
	if i < 0 {
		return 0
	}
	return PromptTokens(e.cache.entries[i].prompt)
}
