// Package journal keeps the recent decisions on each request, so that an
// operator can ask why a request went where it went.
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
	// shards is the number of parts, each under its own lock.
	shards = 16
	// maxEntries bounds the entries of one request.
	maxEntries = 64
)

// Journal holds the decisions on the latest requests. Its methods are safe for
// concurrent use.
type Journal struct {
	parts [shards]part
}

// Entry is one decision.
type Entry struct {
	At     time.Time `json:"at"`
	Kind   string    `json:"kind"`
	Detail string    `json:"detail"`
}

type part struct {
	mu      sync.Mutex
	limit   int
	entries map[ident.Request][]Entry
	order   []ident.Request
	next    int
}

// New returns a journal of up to limit requests.
func New(limit int) *Journal {
	j := new(Journal)
	for i := range j.parts {
		p := &j.parts[i]
		p.limit = max(limit/shards, 1)
		p.entries = make(map[ident.Request][]Entry)
	}
	return j
}

// Record adds a decision on a request.
func (j *Journal) Record(now time.Time, request ident.Request, kind, detail string) {
	p := j.part(request)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(request, Entry{At: now, Kind: kind, Detail: detail})
}

func (p *part) add(request ident.Request, e Entry) {
	list, known := p.entries[request]
	if !known {
		p.makeRoom(request)
	}
	if len(list) < maxEntries {
		p.entries[request] = append(list, e)
	}
}

// makeRoom puts the request in the place of the oldest one.
func (p *part) makeRoom(request ident.Request) {
	if len(p.order) < p.limit {
		p.order = append(p.order, request)
		return
	}
	delete(p.entries, p.order[p.next])
	p.order[p.next] = request
	p.next = (p.next + 1) % p.limit
}

// Find returns the decisions on a request in the order they were made.
func (j *Journal) Find(request ident.Request) []Entry {
	p := j.part(request)
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.entries[request])
}

func (j *Journal) part(request ident.Request) *part {
	return &j.parts[xxhash.Sum64String(string(request))%shards]
}
