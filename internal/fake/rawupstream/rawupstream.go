// Package rawupstream provides an upstream that writes a given response, well-formed or not, and
// ends the connection as a test wants, for tests of clients.
//
// # Usage
//
//	u, err := rawupstream.Start("HTTP/1.1 200 OK\r\n\r\npart", func(c *net.TCPConn, rest io.Reader) { _ = c.SetLinger(0) })
//	defer u.Close()
//	... // call u.Address()
package rawupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
)

// Upstream responds to one call on each connection, one connection at a time.
type Upstream struct {
	listener net.Listener
	serving  sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	current net.Conn
}

// Start starts an upstream that writes response once it has read the head of a call. Then it calls
// end with the connection and the rest of the call, and closes the connection.
func Start(response string, end func(c *net.TCPConn, rest io.Reader)) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{listener: l}
	u.serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil || !u.begin(c) {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, response) // the client may be gone
				end(c.(*net.TCPConn), r.Body)
			}
			_ = c.Close()
		}
	})
	return u, nil
}

// Address returns the address of the upstream.
func (u *Upstream) Address() netip.AddrPort {
	return netip.MustParseAddrPort(u.listener.Addr().String())
}

// begin records the connection that is served. It returns false, and closes c, after Close.
func (u *Upstream) begin(c net.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.closed {
		_ = c.Close() // nothing was read
	}
	u.current = c
	return !u.closed
}

// Close closes the connection that is served, and waits until the upstream has stopped.
func (u *Upstream) Close() error {
	err := u.listener.Close()
	u.mu.Lock()
	u.closed = true
	if u.current != nil {
		_ = u.current.Close() // it may be closed already
	}
	u.mu.Unlock()
	u.serving.Wait()
	return err
}
