package replay

import (
	"errors"
	"time"

	"example.org/lagoonfork/internal/shard"
)

// ErrKeyReused reports that an idempotency key was used for a different request.
var ErrKeyReused = errors.New("idempotency key used for another request")

// Key identifies an answer in a Registry.
type Key string

// Registry holds the answers to requests by key. Its methods are safe for concurrent use.
type Registry[P, E any] struct {
	entries *shard.Map[Key, entry[P, E]]
}

type entry[P, E any] struct {
	answer  *Answer[P, E]
	digest  string
	started time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry[P, E any]() *Registry[P, E] {
	return &Registry[P, E]{entries: shard.NewMap[Key, entry[P, E]]()}
}

// Begin returns the answer for key, creating it if there is none. If started is true,
// this call created the answer and the caller must produce it. Begin returns
// ErrKeyReused if the key belongs to a request with another digest.
func (b *Registry[P, E]) Begin(now time.Time, key Key, digest string) (answer *Answer[P, E], started bool, err error) {
	b.entries.Do(key, func(entries map[Key]entry[P, E]) {
		e, ok := entries[key]
		switch {
		case !ok:
			e = entry[P, E]{answer: new(Answer[P, E]), digest: digest, started: now}
			entries[key] = e
			started = true
		case e.digest != digest:
			err = ErrKeyReused
			return
		}
		answer = e.answer
	})
	return answer, started, err
}

// Drop removes an answer, so that the next request with its key runs again.
func (b *Registry[P, E]) Drop(key Key) {
	b.entries.Delete(key)
}

// Expire removes the complete answers that were started before limit.
func (b *Registry[P, E]) Expire(limit time.Time) {
	var expired []Key
	b.entries.Each(func(key Key, e entry[P, E]) {
		if e.started.Before(limit) && e.answer.Ended() {
			expired = append(expired, key)
		}
	})
	for _, key := range expired {
		b.entries.Delete(key)
	}
}

// Find returns the answer for key, and whether it exists.
func (b *Registry[P, E]) Find(key Key) (answer *Answer[P, E], ok bool) {
	e, ok := b.entries.Get(key)
	return e.answer, ok
}

// Len returns the number of answers held.
func (b *Registry[P, E]) Len() int {
	return b.entries.Len()
}
