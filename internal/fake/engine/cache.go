package engine

import (
	"slices"
	"time"

	wire "example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/tokens"
)

// cacheEventsKept is the number of cache events that are kept.
const cacheEventsKept = 1024

// prefixCache keeps the latest prompt of each cache key, up to a capacity.
type prefixCache struct {
	capacity tokens.Count
	gapEvery int
	held     tokens.Count
	entries  []cacheEntry // the least recently used first
	events   []cacheEvent
	sequence uint64
}

type cacheEntry struct {
	key, prompt string
}

type cacheEvent struct {
	wire.CacheEvent
	at time.Time
}

// use returns how many tokens of the prompt are cached, and caches all of it.
func (c *prefixCache) use(key, prompt string, now time.Time) (cached tokens.Count) {
	if key == "" {
		return 0
	}
	if i := c.index(key); i >= 0 {
		cached = commonTokens(c.entries[i].prompt, prompt)
		c.drop(i)
	}
	c.store(key, prompt, now)
	return cached
}

func (c *prefixCache) index(key string) int {
	return slices.IndexFunc(c.entries, func(e cacheEntry) bool { return e.key == key })
}

func (c *prefixCache) store(key, prompt string, now time.Time) {
	size := PromptTokens(prompt)
	if size > c.capacity {
		return
	}
	for c.held+size > c.capacity {
		oldest := c.entries[0]
		c.drop(0)
		c.publish(wire.CacheEvicted, oldest, now)
	}
	e := cacheEntry{key: key, prompt: prompt}
	c.entries = append(c.entries, e)
	c.held += size
	c.publish(wire.CacheStored, e, now)
}

func (c *prefixCache) drop(i int) {
	c.held -= PromptTokens(c.entries[i].prompt)
	c.entries = slices.Delete(c.entries, i, i+1)
}

func (c *prefixCache) clear() {
	c.entries = nil
	c.held = 0
}

// publish records an event, or loses it.
func (c *prefixCache) publish(kind wire.CacheEventKind, e cacheEntry, now time.Time) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%uint64(c.gapEvery) == 0 {
		return
	}
	event := wire.CacheEvent{Sequence: c.sequence, Kind: kind, Key: e.key, Tokens: PromptTokens(e.prompt)}
	c.events = append(c.events, cacheEvent{event, now})
	if len(c.events) > cacheEventsKept {
		c.events = slices.Delete(c.events, 0, 1)
	}
}

// since returns the events after a sequence number and no later than until.
func (c *prefixCache) since(after uint64, until time.Time) []wire.CacheEvent {
	events := []wire.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(until) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

// commonTokens returns the number of whole tokens that two prompts begin with
// in common.
func commonTokens(a, b string) tokens.Count {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	if n == len(b) {
		return PromptTokens(b)
	}
	return tokens.Count(n / bytesPerToken)
}

// FlushCache empties the prefix cache without an event.
func (e *Engine) FlushCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.clear()
}

// Cached returns the number of tokens that the cache holds under key.
func (e *Engine) Cached(key string) tokens.Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.cache.index(key)
	if i < 0 {
		return 0
	}
	return PromptTokens(e.cache.entries[i].prompt)
}
