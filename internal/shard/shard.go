// Package shard provides a map whose entries are spread over shards, each
// under its own lock.
//
// # Usage
//
//	m := shard.NewMap[ident.Budget, *wallet]()
//	m.Do(id, func(entries map[ident.Budget]*wallet) {
//		entries[id] = w
//	})
//
// The function given to Do runs under the lock of the key's shard. It must not
// block nor call Do on the same map.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// count is the number of shards. It is a power of two.
const count = 64

// Map is a map in shards. Its methods are safe for concurrent use.
type Map[K ~string, V any] struct {
	parts [count]part[K, V]
}

type part[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// NewMap returns an empty map.
func NewMap[K ~string, V any]() *Map[K, V] {
	m := new(Map[K, V])
	for i := range m.parts {
		m.parts[i].entries = make(map[K]V)
	}
	return m
}

// Do calls f with the entries of the shard of key, under the shard's lock.
func (m *Map[K, V]) Do(key K, f func(entries map[K]V)) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.entries)
}

// Get returns the value of key and whether there is one.
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

// Each calls f with every entry, one shard at a time under its lock. The order
// is not defined.
func (m *Map[K, V]) Each(f func(key K, value V)) {
	for i := range m.parts {
		m.parts[i].each(f)
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() (n int) {
	m.Each(func(K, V) { n++ })
	return n
}

func (m *Map[K, V]) part(key K) *part[K, V] {
	return &m.parts[xxhash.Sum64String(string(key))&(count-1)]
}

func (p *part[K, V]) each(f func(key K, value V)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.entries {
		f(k, v)
	}
}
