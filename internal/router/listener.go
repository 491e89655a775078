package router

import (
	"context"
	"net"
	"sync"

	"golang.org/x/sync/semaphore"
)

// limitedListener limits the number of open connections. Further connections wait in
// the kernel's accept queue.
type limitedListener struct {
	net.Listener
	slots  *semaphore.Weighted
	closed context.Context
	close  context.CancelFunc
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	ctx, cancel := context.WithCancel(context.Background())
	return &limitedListener{Listener: l, slots: semaphore.NewWeighted(int64(limit)), closed: ctx, close: cancel}
}

// Accept waits until the number of connections is below the limit, and accepts the
// next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.slots.Acquire(l.closed, 1); err != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { l.slots.Release(1) }}, nil
}

// Close closes the listener and unblocks Accept.
func (l *limitedListener) Close() error {
	l.close()
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close releases the slot and closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
