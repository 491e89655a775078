package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout and lingerBytes bound what is discarded after a refusal. They are those of
	// net/http for the rest of a body.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Unread returns how many bytes that were written to the connection of the request with the given
// context have not reached the caller: they wait in the socket, because the caller has not
// acknowledged them. It reports false if that is not known. It does not block.
func Unread(ctx context.Context) (n int64, known bool) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return 0, false
	}
	socket, ok := unwrap(c.Conn).(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		n, known = int64(queued), err == nil
	})
	return n, known && err == nil
}

// Discard has the connection of the request with the given context reset when it is closed, and what
// was written and has not reached the caller discarded. Otherwise the system keeps these bytes while
// the caller does not read them.
func Discard(ctx context.Context) {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return
	}
	if socket, ok := unwrap(c.Conn).(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only if the connection is closed
	}
}

// CloseWrite ends the writing side of the connection. net/http calls it before it closes a
// connection of which it has not read everything: the system then sends a reset, which would
// overtake the response.
func (c *conn) CloseWrite() error {
	if inner, ok := unwrap(c.Conn).(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// linger ends the writing side of a connection and discards what still arrives, until the caller
// has closed it or one of the bounds is reached, so that no reset overtakes the response.
func (c *conn) linger(now time.Time) {
	if c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(now.Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the connection is closed in any case
}

// unwrap returns the connection below others that have a method NetConn.
func unwrap(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}
