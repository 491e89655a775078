// Package shard provides a concurrent map whose entries are distributed over
// shards with one lock each.
//
// # Usage
//
//	m := shard.NewMap[ident.Budget, *wallet]()
//	m.Do(id, func(entries map[ident.Budget]*wallet) {
//		entries[id] = w
//	})
//
// Do calls its function with the lock of the key's shard held. The function must
// neither block nor call methods of the same map.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards. It must be a power of two.
const shardCount = 64

// Map is a sharded map. Its methods are safe for concurrent use.
type Map[K ~string, V any] struct {
	shards [shardCount]lockedMap[K, V]
}

// lockedMap is one shard of a Map.
type lockedMap[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// NewMap returns an empty map.
func NewMap[K ~string, V any]() *Map[K, V] {
	m := new(Map[K, V])
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

// Do calls f with the entries of the shard that contains key, with the shard's
// lock held.
func (m *Map[K, V]) Do(key K, f func(entries map[K]V)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// Get returns the value of key and reports whether it is in the map.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	m.Do(key, func(entries map[K]V) { value, ok = entries[key] })
	return value, ok
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	m.Do(key, func(entries map[K]V) { entries[key] = value })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	m.Do(key, func(entries map[K]V) { delete(entries, key) })
}

// Each calls f for every entry in no particular order. It holds the lock of the
// entry's shard during the call, so that f must neither block nor call methods of
// the same map.
func (m *Map[K, V]) Each(f func(key K, value V)) {
	for i := range m.shards {
		m.shards[i].each(f)
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() (n int) {
	m.Each(func(K, V) { n++ })
	return n
}

func (m *Map[K, V]) shardFor(key K) *lockedMap[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))&(shardCount-1)]
}

func (s *lockedMap[K, V]) each(f func(key K, value V)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.entries {
		f(k, v)
	}
}
