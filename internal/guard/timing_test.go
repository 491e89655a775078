package guard

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

// accept returns a connection that a guard with the given limits has accepted, and its other end.
func accept(t *testing.T, limits func() Limits) (c *conn, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	far = dial(t, l.Addr().String())
	g := New(Settings{Registry: callerlimit.New(callerlimit.Limits{}), Limits: limits, Clock: time.Now})
	near, err := g.Listener(l).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	require.NoError(t, l.Close())
	return near.(*conn), far
}

// TestRequestThatArrivesAsTheIdleTimeEnds guards against a request that is cut off because its bytes
// had arrived, but not been read, when the time of its idle connection was over or it was to end.
func TestRequestThatArrivesAsTheIdleTimeEnds(t *testing.T) {
	for name, end := range map[string]func(*conn){
		"limit": func(c *conn) { c.beginIdle(time.Now().Add(-time.Hour)) },
		"drain": func(c *conn) { c.guard.Drain(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			c, far := accept(t, func() Limits { return Limits{IdleTimeout: time.Minute} })
			_, err := io.WriteString(far, shortRequest)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond) // long enough to arrive; else the test shows nothing
			end(c)
			b := make([]byte, 100)
			n, err := c.Read(b)
			require.NoError(t, err)
			assert.Equal(t, shortRequest, string(b[:n]))
			c.endRequest(time.Now().Add(-time.Hour))
			_, err = c.Read(b)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing has arrived")
		})
	}
}

// TestIdleTimeIsNotShortened guards against an idle connection that ends before the limit that was in
// force when it became idle, or before the one that is in force when it ends.
func TestIdleTimeIsNotShortened(t *testing.T) {
	limits := make(chan Limits, 1)
	limits <- Limits{IdleTimeout: time.Minute}
	c, _ := accept(t, func() Limits {
		l := <-limits
		limits <- l
		return l
	})
	set := func(l Limits) {
		<-limits
		limits <- l
	}
	now := time.Now()
	c.beginIdle(now)
	assert.Equal(t, now.Add(time.Minute), c.applied)
	set(Limits{IdleTimeout: time.Hour})
	assert.True(t, c.readAgain(now.Add(time.Minute)), "the limit has been raised")
	assert.Equal(t, now.Add(time.Hour), c.applied)
	set(Limits{IdleTimeout: time.Second})
	assert.Equal(t, now.Add(time.Hour), c.applied)
	c.beginIdle(now)
	assert.Equal(t, now.Add(time.Second), c.applied, "the lower limit applies from the next idle time on")
}

// TestHeadTimeBeginsWithItsFirstByte guards against a head whose time passes while nothing of it has
// arrived or the request before it is in progress, and against one that gets more time with each byte.
func TestHeadTimeBeginsWithItsFirstByte(t *testing.T) {
	limits := Limits{HeadTimeout: 3 * time.Second, IdleTimeout: time.Minute}
	c, _ := accept(t, func() Limits { return limits })
	now := time.Now()
	step := func(s string) time.Time {
		now = now.Add(time.Second)
		_, _, _ = c.advance(now, []byte(s))
		c.countHead(now, []byte(s), false)
		return c.applied
	}
	c.beginIdle(now)
	idleEnd := now.Add(limits.IdleTimeout)
	assert.Equal(t, idleEnd, step("\r\n"), "an empty line is no head")
	headEnd := now.Add(time.Second + limits.HeadTimeout)
	assert.Equal(t, headEnd, step("GET / HTTP/1.1\r\n"))
	assert.Equal(t, headEnd, step("Host: h\r\n"))
	assert.True(t, step("\r\n").IsZero(), "the head has ended")
	assert.True(t, step("G").IsZero(), "the request is in progress")
	now = now.Add(time.Hour)
	c.endRequest(now)
	assert.Equal(t, now.Add(limits.HeadTimeout), c.applied)
	assert.False(t, c.headIsLate(now.Add(limits.HeadTimeout-1)))
	assert.True(t, c.headIsLate(now.Add(limits.HeadTimeout)))
	require.NoError(t, c.SetReadDeadline(past))
	assert.Equal(t, past, c.applied, "the server's own deadlines apply too")
}

// TestHeadTimeIsNotShortened guards against a head that is refused because a lower limit has come into
// force since it began, and against a lower one that does not apply to the next.
func TestHeadTimeIsNotShortened(t *testing.T) {
	const longer, shorter = time.Minute, 20 * time.Millisecond
	var limit atomic.Int64
	limit.Store(int64(longer))
	c, far := accept(t, func() Limits { return Limits{HeadTimeout: time.Duration(limit.Load())} })
	b := make([]byte, 100)
	read := func(sent string) {
		_, err := io.WriteString(far, sent)
		require.NoError(t, err)
		n, err := c.Read(b)
		require.NoError(t, err)
		assert.Equal(t, sent, string(b[:n]))
	}
	read("GET / HTTP/1.1\r\n")
	limit.Store(int64(shorter))
	for _, part := range []string{"Host: h\r\n", "A: b\r\n", "\r\n"} {
		time.Sleep(2 * shorter)
		read(part)
	}
	c.endRequest(time.Now())
	read("GET / HTTP/1.1\r\n")
	go func() { _, _ = io.Copy(io.Discard, far) }()
	_, err := c.Read(b)
	assert.ErrorIs(t, err, io.EOF)
	assert.True(t, c.refused)
}

// TestEmptyLineInTwoPartsIsNoRequest guards against a stop that waits for a caller that has sent an
// empty line, of which the first byte was read ahead, and against a 408 for it.
func TestEmptyLineInTwoPartsIsNoRequest(t *testing.T) {
	c, far := newConn(t, callerlimit.New(callerlimit.Limits{}), func(*conn) {})
	c.guard.settings.Limits = func() Limits { return Limits{HeadTimeout: time.Minute} }
	b := make([]byte, 10)
	for _, part := range []string{"\r", "\n"} {
		go func() { _, _ = io.WriteString(far, part) }()
		_, err := c.Read(b)
		require.NoError(t, err)
	}
	assert.True(t, c.headSince.IsZero())
	c.guard.Drain(time.Now())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(b)
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(10 * time.Second):
		t.Error("it is still read")
	}
}
