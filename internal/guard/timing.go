package guard

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/requestframe"
)

// Limits bounds heads and idle connections. Zero means no limit.
type Limits struct {
	HeadBytes int // of a whole head, with its request line and the empty line at its end
	// HeadTimeout is the time from the first byte of a head to its end, and IdleTimeout from the
	// start of a connection or the end of a request to the first byte of the next head. Lower
	// limits apply from the next head or idle time on, and higher ones at once.
	HeadTimeout, IdleTimeout time.Duration
}

// lastLook is how long an idle connection is read once more when its time is over. A read after its
// deadline returns nothing, although a request may have arrived before.
const lastLook = 20 * time.Millisecond

// past is a deadline that ends reads at once.
var past = time.Unix(1, 0)

// timing holds what the end of a connection and the deadline of its reader follow from. It is guarded
// by conn.mu.
type timing struct {
	ending    bool          // closed as soon as it is not in use
	deadline  time.Time     // that the server has set for reads
	applied   time.Time     // deadline in force
	idleSince time.Time     // zero unless the connection is idle
	headSince time.Time     // zero unless a part of a head has arrived
	looked    bool          // read once more since the connection became idle
	headLimit time.Duration // for heads, in force at headSince
}

// limits returns the limits in force.
func (g *Guard) limits() Limits {
	if g.settings.Limits == nil {
		return Limits{}
	}
	return g.settings.Limits()
}

// SetReadDeadline implements net.Conn. It takes effect unless a limit ends reads before. Once the
// connection ends, it takes effect only if a request arrives after all.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline(c.readDeadline())
}

// readDeadline returns when reads have to end. c.mu must be held.
func (c *conn) readDeadline() (t time.Time) {
	limits := c.guard.limits()
	switch {
	case c.ending && !c.inUse:
		return past
	case !c.headSince.IsZero() && c.headTimeout() > 0:
		t = c.headSince.Add(c.headTimeout())
	case !c.idleSince.IsZero() && limits.IdleTimeout > 0:
		t = c.idleSince.Add(limits.IdleTimeout)
	}
	if t.IsZero() || !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}
	return t
}

// beginHead begins the time of a head. c.mu must be held.
func (c *conn) beginHead(now time.Time) {
	c.idleSince, c.headSince, c.headLimit = time.Time{}, now, c.guard.limits().HeadTimeout
}

// headTimeout returns the limit for the current head, or 0 if there is none: the higher one of those in
// force at its start and now. c.mu must be held.
func (c *conn) headTimeout() time.Duration {
	limit := c.guard.limits().HeadTimeout
	if limit <= 0 || c.headLimit <= 0 {
		return 0
	}
	return max(limit, c.headLimit)
}

// applyDeadline sets the deadline of the reader. c.mu must be held.
func (c *conn) applyDeadline(t time.Time) error {
	if t.Equal(c.applied) {
		return nil
	}
	c.applied = t
	return c.Conn.SetReadDeadline(t)
}

// receive reads from the network. After a deadline it goes on if the limits have been raised, and
// reads once more if the connection is idle. A request whose head takes too long is refused.
func (c *conn) receive(b []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		now := c.guard.settings.Clock()
		if c.readAgain(now) {
			continue
		}
		if c.headIsLate(now) {
			c.refuse(now, http.StatusRequestTimeout, "", headTimeoutBody)
			return 0, io.EOF
		}
		return 0, err
	}
}

// headIsLate reports whether the head of a request takes too long.
func (c *conn) headIsLate(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.headTimeout()
	return !c.headSince.IsZero() && timeout > 0 && now.Sub(c.headSince) >= timeout
}

// readAgain reports whether to go on after a deadline, and sets the next one.
func (c *conn) readAgain(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.readDeadline()
	switch {
	case next.IsZero() || next.After(now):
	case !c.inUse && !c.looked:
		c.looked, next = true, now.Add(lastLook)
	default:
		return false
	}
	c.applied = next // set in any case, so that the next read waits
	return c.Conn.SetReadDeadline(next) == nil
}

// followHead sets the deadline after bytes have been read at the given time. c.mu must be held.
func (c *conn) followHead(now time.Time) {
	switch {
	case c.busy: // the time of the next head begins after the response
	case c.scanner.Complete():
		c.idleSince, c.headSince = time.Time{}, time.Time{}
	case c.scanner.Started() && c.headSince.IsZero():
		c.beginHead(now)
	case !c.inUse && !c.headSince.IsZero(): // it was an empty line, in two parts
		c.idleSince, c.headSince = now, time.Time{}
	}
	_ = c.applyDeadline(c.readDeadline()) // fails only if the connection is closed
}

// beginIdle begins the time for which the connection may be idle, or that of the next head if a part
// of it has arrived.
func (c *conn) beginIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startTime(now)
}

// startTime is beginIdle with c.mu held.
func (c *conn) startTime(now time.Time) {
	c.idleSince, c.headSince, c.looked = now, time.Time{}, false
	if c.scanner.Started() {
		c.beginHead(now)
	}
	_ = c.applyDeadline(c.readDeadline()) // fails only if the connection is closed
}

// becomeIdle records that the connection waits for the next request, unless a part of it has
// arrived.
func (c *conn) becomeIdle(now time.Time) {
	draining := c.guard.Draining()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse, c.whole = c.owed > 0 || len(c.pending) > 0, false
	c.ending = c.ending || draining
	c.startTime(now)
}

// drain ends the connection once it is idle, unless it is unused and was accepted after the given
// time.
func (c *conn) drain(unusedSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used || !c.accepted.After(unusedSince) {
		c.end()
	}
}

// end has the reader close the connection as soon as it is not in use. c.mu must be held.
func (c *conn) end() {
	c.ending = true
	if !c.looked {
		_ = c.applyDeadline(c.readDeadline()) // fails only if the connection is closed
	}
}

// giveUp ends the connection to make room for others, or reports false if a request has arrived
// that the phase does not show yet. A request that arrives meanwhile is refused.
func (c *conn) giveUp(p callerlimit.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.whole, p == callerlimit.Waiting && c.inUse, p == callerlimit.Receiving && c.scanner.Part() == requestframe.Body:
		return false
	case c.inUse:
		c.closed = true
		_ = c.Conn.Close()
	default:
		c.end()
	}
	c.givenUp = true
	return true
}
