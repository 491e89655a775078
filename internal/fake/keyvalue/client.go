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

// Client is a store.Store over a Service, with faults of its own. Its methods
// are safe for concurrent use.
type Client struct {
	service *Service
	faults  *faults
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
		entry = s.entry(key)
	})
	return entry, err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) (entries []store.Entry, r store.Revision, err error) {
	defer func() { err = merry.Prependf(err, "listing %s", prefix) }()
	err = c.read(ctx, func(s *Service) {
		entries = s.list(prefix)
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
	_, err = write(ctx, c, (*Counts).addWrite, func(s *Service) (none, error) {
		return none{}, s.delete(key, cond)
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
	_, err = write(ctx, c, (*Counts).addLease, func(s *Service) (none, error) {
		return none{}, s.renew(lease)
	})
	return err
}

// Revoke implements store.Store.
func (c *Client) Revoke(ctx context.Context, lease store.Lease) (err error) {
	defer func() { err = merry.Prependf(err, "revoking lease %d", lease) }()
	_, err = write(ctx, c, (*Counts).addLease, func(s *Service) (none, error) {
		return none{}, s.revoke(lease)
	})
	return err
}

// read runs f under the lock of the service, unless a fault prevents it.
func (c *Client) read(ctx context.Context, f func(s *Service)) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.enter((*Counts).addRead); err != nil {
		return err
	}
	if err := c.pause(ctx); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.out() {
		return store.ErrUnavailable
	}
	s.expire()
	f(s)
	return nil
}

// none is the result of a write that returns only an error.
type none struct{}

// write runs f under the lock of the service, as the faults have it.
func write[T any](ctx context.Context, c *Client, count func(*Counts), f func(s *Service) (T, error)) (result T, err error) {
	if err := ctx.Err(); err != nil {
		return result, err
	}
	if err := c.enter(count); err != nil {
		return result, err
	}
	interrupted := c.pause(ctx)
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.out() {
		return result, store.ErrUnavailable
	}
	s.expire()
	switch s.fate(c.faults) {
	case fateAnswerLost:
		_, _ = f(s) // the answer is lost, whatever it is
		return result, store.ErrUnknown
	case fateLost:
		return result, store.ErrUnknown
	case fateHeld:
		s.late = append(s.late, func() { _, _ = f(s) })
		return result, store.ErrUnknown
	}
	if interrupted != nil {
		_, _ = f(s)
		return result, fmt.Errorf("%w: %w", store.ErrUnknown, interrupted)
	}
	return f(s)
}

// enter counts a call and refuses it during an outage.
func (c *Client) enter(count func(*Counts)) error {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.counts)
	if c.out() {
		s.counts.Rejected++
		return store.ErrUnavailable
	}
	return nil
}

// pause waits for the delays in force.
func (c *Client) pause(ctx context.Context) error {
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

// out reports whether an outage is in force. The caller holds Service.mu.
func (c *Client) out() bool {
	return c.faults.Outage || c.service.faults.Outage
}

// outages numbers the outages that concern c. The caller holds Service.mu.
func (c *Client) outages() int {
	return c.faults.outages + c.service.faults.outages
}

func (n *Counts) addRead()  { n.Reads++ }
func (n *Counts) addWrite() { n.Writes++ }
func (n *Counts) addLease() { n.Leases++ }

func (s *Service) entry(key string) store.Entry {
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{Key: key}
	}
	e.Value = bytes.Clone(e.Value)
	return e
}

func (s *Service) list(prefix string) []store.Entry {
	var entries []store.Entry
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.entry(key))
		}
	}
	slices.SortFunc(entries, func(a, b store.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

func (s *Service) put(key string, value []byte, cond store.Condition, id store.Lease) (store.Revision, error) {
	if !s.holds(key, cond) {
		return 0, store.ErrConflict
	}
	if _, ok := s.leases[id]; id != store.NoLease && !ok {
		return 0, store.ErrLeaseNotFound
	}
	s.bind(key, s.entries[key].Lease, id)
	s.revision++
	entry := store.Entry{Key: key, Value: value, Revision: s.revision, Lease: id}
	s.entries[key] = entry
	s.change(store.Event{Entry: entry})
	return s.revision, nil
}

func (s *Service) delete(key string, cond store.Condition) error {
	if !s.holds(key, cond) {
		return store.ErrConflict
	}
	entry, ok := s.entries[key]
	if !ok {
		return nil
	}
	s.bind(key, entry.Lease, store.NoLease)
	s.revision++
	delete(s.entries, key)
	s.change(deletion(key, s.revision))
	return nil
}

func (s *Service) holds(key string, cond store.Condition) bool {
	r, guarded := cond.Guard()
	return !guarded || s.entries[key].Revision == r
}
