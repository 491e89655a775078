// Package journal records the decisions made on recent requests in memory, so that
// an operator can look up why a request was routed as it was.
//
// # Usage
//
//	j := journal.New(10_000)
//	j.Record(now, request, "route", fmt.Sprintf("%s: %s", upstream, reason))
//	for _, e := range j.Find(request) {
//		...
//	}
package journal

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/lagoonfork/pkg/ident"
)

const (
	// shardCount is the number of shards, each with its own lock.
	shardCount = 16
	// maxEntriesPerRequest limits the entries of one request; further ones are dropped.
	maxEntriesPerRequest = 64
)

// Journal holds the decisions on the most recent requests. Its methods are safe for
// concurrent use.
type Journal struct {
	shards [shardCount]shard
}

// Entry is one decision on a request.
type Entry struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"`
	Detail string    `json:"detail"`
}

// shard holds the entries of a part of the requests. ring holds their identifiers;
// once it is full, oldest is the index of the oldest one.
type shard struct {
	mu      sync.Mutex
	limit   int
	entries map[ident.Request][]Entry
	ring    []ident.Request
	oldest  int
}

// New returns a journal of up to about limit requests, divided evenly among the
// shards. Each shard holds at least one request.
func New(limit int) *Journal {
	j := new(Journal)
	for i := range j.shards {
		s := &j.shards[i]
		s.limit = max(limit/shardCount, 1)
		s.entries = make(map[ident.Request][]Entry)
	}
	return j
}

// Record adds a decision on a request. A new request replaces the oldest one of its
// shard if the shard is full.
func (j *Journal) Record(now time.Time, request ident.Request, kind, detail string) {
	s := j.shardFor(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(request, Entry{At: now, Kind: kind, Detail: detail})
}

func (s *shard) add(request ident.Request, e Entry) {
	list, known := s.entries[request]
	if !known {
		s.insertRequest(request)
	}
	if len(list) < maxEntriesPerRequest {
		s.entries[request] = append(list, e)
	}
}

// insertRequest adds the request to the ring. If the ring is full, it evicts the
// oldest request.
func (s *shard) insertRequest(request ident.Request) {
	if len(s.ring) < s.limit {
		s.ring = append(s.ring, request)
		return
	}
	delete(s.entries, s.ring[s.oldest])
	s.ring[s.oldest] = request
	s.oldest = (s.oldest + 1) % s.limit
}

// Find returns the decisions on a request in the order they were made.
func (j *Journal) Find(request ident.Request) []Entry {
	s := j.shardFor(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.entries[request])
}

func (j *Journal) shardFor(request ident.Request) *shard {
	return &j.shards[xxhash.Sum64String(string(request))%shardCount]
}
