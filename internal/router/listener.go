package router

import (
	"context"
	"net"
	"sync"

	"golang.org/x/sync/semaphore"
)

// limitedListener accepts a limited number of connections at a time. Further
// ones wait in the system's queue.
type limitedListener struct {
	net.Listener
	free   *semaphore.Weighted
	closed context.Context
	close  context.CancelFunc
}

func newLimitedListener(l net.Listener, limit int) *limitedListener {
	ctx, cancel := context.WithCancel(context.Background())
	return &limitedListener{Listener: l, free: semaphore.NewWeighted(int64(limit)), closed: ctx, close: cancel}
}

// Accept waits until there is a connection and room for it.
func (l *limitedListener) Accept() (net.Conn, error) {
	if err := l.free.Acquire(l.closed, 1); err != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.free.Release(1)
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { l.free.Release(1) }}, nil
}

// Close ends the listener.
func (l *limitedListener) Close() error {
	l.close()
	return l.Listener.Close()
}

// limitedConn makes room when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
