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
	digest  string // of the request
	started time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry[P, E any]() *Registry[P, E] {
	return &Registry[P, E]{entries: shard.NewMap[Key, entry[P, E]]()}
}

// Begin returns the answer for key, creating it if there is none. If started is true,
// this call created the answer and the caller must produce it. Begin returns
// ErrKeyReused if the key belongs to a request with another digest.
func (r *Registry[P, E]) Begin(now time.Time, key Key, digest string) (answer *Answer[P, E], started bool, err error) {
	r.entries.Do(key, func(entries map[Key]entry[P, E]) {
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
func (r *Registry[P, E]) Drop(key Key) {
	r.entries.Delete(key)
}

// DropAnswer removes the given answer, unless its key belongs to another one by now.
func (r *Registry[P, E]) DropAnswer(key Key, answer *Answer[P, E]) {
	r.entries.Do(key, func(entries map[Key]entry[P, E]) {
		if entries[key].answer == answer {
			delete(entries, key)
		}
	})
}

// Expire removes the complete answers that were started before limit, and closes their memory.
func (r *Registry[P, E]) Expire(limit time.Time) {
	expired := make(map[Key]*Answer[P, E])
	r.entries.Each(func(key Key, e entry[P, E]) {
		if e.started.Before(limit) && e.answer.Ended() {
			expired[key] = e.answer
		}
	})
	for key, answer := range expired {
		r.DropAnswer(key, answer)
		answer.Memory.Close()
	}
}

// Find returns the answer for key, and whether it exists.
func (r *Registry[P, E]) Find(key Key) (answer *Answer[P, E], ok bool) {
	e, ok := r.entries.Get(key)
	return e.answer, ok
}

// Len returns the number of answers held.
func (r *Registry[P, E]) Len() int {
	return r.entries.Len()
}
