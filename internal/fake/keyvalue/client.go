package keyvalue

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/pkg/store"
)

// Client implements store.Store on a Service and has faults of its own. Its
// methods are safe for concurrent use.
type Client struct {
	service *Service
	faults  *faultState
}

var _ store.Store = (*Client)(nil)

// SetFaults sets the faults of this client alone.
func (c *Client) SetFaults(f Faults) {
	c.service.setFaults(c.faults, f)
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	defer func() { err = merry.Prependf(err, "getting %s", key) }()
	err = c.read(ctx, func(s *Service) {
		entry = s.getEntry(key)
	})
	return entry, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (entries []store.Entry, r store.Revision, err error) {
	defer func() { err = merry.Prependf(err, "listing %s", prefix) }()
	err = c.read(ctx, func(s *Service) {
		entries = s.listEntries(prefix)
		r = s.revision
	})
	return entries, r, err
}

// Put implements store.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, cond store.Condition, lease store.Lease) (r store.Revision, err error) {
	defer func() { err = merry.Prependf(err, "putting %s", key) }()
	if len(value) > store.MaxValueSize {
		return 0, store.ErrTooLarge
	}
	value = bytes.Clone(value)
	return write(ctx, c, (*Counts).addWrite, func(s *Service) (store.Revision, error) {
		return s.put(key, value, cond, lease)
	})
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, cond store.Condition) (err error) {
	defer func() { err = merry.Prependf(err, "deleting %s", key) }()
	_, err = write(ctx, c, (*Counts).addWrite, func(s *Service) (noResult, error) {
		return noResult{}, s.delete(key, cond)
	})
	return err
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (lease store.Lease, err error) {
	defer func() { err = merry.Prependf(err, "granting a lease of %s", ttl) }()
	return write(ctx, c, (*Counts).addLease, func(s *Service) (store.Lease, error) {
		return s.grant(ttl), nil
	})
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, lease store.Lease) (err error) {
	defer func() { err = merry.Prependf(err, "keeping lease %d alive", lease) }()
	_, err = write(ctx, c, (*Counts).addLease, func(s *Service) (noResult, error) {
		return noResult{}, s.renew(lease)
	})
	return err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease store.Lease) (err error) {
	defer func() { err = merry.Prependf(err, "revoking lease %d", lease) }()
	_, err = write(ctx, c, (*Counts).addLease, func(s *Service) (noResult, error) {
		return noResult{}, s.revoke(lease)
	})
	return err
}

// read runs f with Service.mu locked, unless a fault prevents it.
func (c *Client) read(ctx context.Context, f func(s *Service)) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.beginCall((*Counts).addRead); err != nil {
		return err
	}
	if err := c.waitDelay(ctx); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.unavailable() {
		return store.ErrUnavailable
	}
	s.expire()
	f(s)
	return nil
}

// noResult is the result of a write that returns only an error.
type noResult struct{}

// write counts the call and runs f with Service.mu locked. Depending on the
// faults in force, it skips or postpones f, or discards the result of f and
// returns store.ErrUnknown. If only ctx ends, during Faults.Delay, f still runs and
// write returns store.ErrUnknown.
func write[T any](ctx context.Context, c *Client, count func(*Counts), f func(s *Service) (T, error)) (result T, err error) {
	if err := ctx.Err(); err != nil {
		return result, err
	}
	if err := c.beginCall(count); err != nil {
		return result, err
	}
	interrupted := c.waitDelay(ctx)
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.unavailable() {
		return result, store.ErrUnavailable
	}
	s.expire()
	switch s.nextOutcome(c.faults) {
	case outcomeResponseLost:
		_, _ = f(s) // the response is lost, whether the write succeeds or not
		return result, store.ErrUnknown
	case outcomeWriteLost:
		return result, store.ErrUnknown
	case outcomeHeld:
		s.heldWrites = append(s.heldWrites, func() { _, _ = f(s) })
		return result, store.ErrUnknown
	}
	if interrupted != nil {
		_, _ = f(s)
		return result, fmt.Errorf("%w: %w", store.ErrUnknown, interrupted)
	}
	return f(s)
}

// beginCall counts a call and returns store.ErrUnavailable during an outage.
func (c *Client) beginCall(count func(*Counts)) error {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.counts)
	if c.unavailable() {
		s.counts.Rejected++
		return store.ErrUnavailable
	}
	return nil
}

// waitDelay waits for the sum of the delays of the client and the service. It
// returns early with the context's error if ctx ends.
func (c *Client) waitDelay(ctx context.Context) error {
	c.service.mu.Lock()
	delay := c.faults.Delay + c.service.faults.Delay
	c.service.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unavailable reports whether an outage of this client or of the service is in
// force. The caller holds Service.mu.
func (c *Client) unavailable() bool {
	return c.faults.Outage || c.service.faults.Outage
}

// outageCount returns the number of outages of c and of the service that have
// begun so far. The caller holds Service.mu.
func (c *Client) outageCount() int {
	return c.faults.outageCount + c.service.faults.outageCount
}

func (c *Counts) addRead()  { c.Reads++ }
func (c *Counts) addWrite() { c.Writes++ }
func (c *Counts) addLease() { c.Leases++ }

// getEntry returns a copy of the entry of key, with a revision whose counter is 0 if key
// is absent. The caller holds mu.
func (s *Service) getEntry(key string) store.Entry {
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{Key: key, Revision: store.NewRevision(s.revision.Era(), 0)}
	}
	e.Value = bytes.Clone(e.Value)
	return e
}

// listEntries returns copies of the entries under prefix, sorted by key. The
// caller holds mu.
func (s *Service) listEntries(prefix string) []store.Entry {
	var entries []store.Entry
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.getEntry(key))
		}
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

// put writes an entry and records the change. The caller holds mu.
func (s *Service) put(key string, value []byte, cond store.Condition, lease store.Lease) (store.Revision, error) {
	if !s.conditionHolds(key, cond) {
		return 0, store.ErrConflict
	}
	if _, ok := s.leases[lease]; lease != store.NoLease && !ok {
		return 0, store.ErrLeaseNotFound
	}
	s.moveKey(key, s.entries[key].Lease, lease)
	s.revision++
	entry := store.Entry{Key: key, Value: value, Revision: s.revision, Lease: lease}
	s.entries[key] = entry
	s.recordEvent(store.Event{Entry: entry})
	return s.revision, nil
}

// delete removes an entry and records the change. The caller holds mu.
func (s *Service) delete(key string, cond store.Condition) error {
	if !s.conditionHolds(key, cond) {
		return store.ErrConflict
	}
	entry, ok := s.entries[key]
	if !ok {
		return nil
	}
	s.moveKey(key, entry.Lease, store.NoLease)
	s.revision++
	delete(s.entries, key)
	s.recordEvent(deleteEvent(key, s.revision))
	return nil
}

// conditionHolds reports whether key has the revision that cond requires, if any.
// The caller holds mu.
func (s *Service) conditionHolds(key string, cond store.Condition) bool {
	if other, r, ok := cond.Other(); ok && s.getEntry(other).Revision != r {
		return false
	}
	r, guarded := cond.Guard()
	return !guarded || s.getEntry(key).Revision == r || r == 0 && !s.getEntry(key).Exists()
}
