// Package memorynet provides a network in memory, for tests on given time (testing/synctest) of
// routers that call each other.
//
// # Usage
//
//	var network memorynet.Network
//	listener := network.Listen("10.0.0.1:9000")
//	go server.Serve(listener)
//	connection, err := network.Dial(ctx, "tcp", "10.0.0.1:9000")
//	...
//	network.Stop("10.0.0.1:9000", memorynet.Dark)
package memorynet

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
)

// Fault is the way in which a host does not respond.
type Fault int

// Faults of hosts. What a host that has stopped sends on open connections is lost.
const (
	// Frozen hosts accept connections, as the kernel does for a process that is stopped.
	Frozen Fault = iota + 1
	// Dark hosts do not.
	Dark
)

// errInUse reports an address that has a listener.
var errInUse = errors.New("address in use")

// Network is a set of hosts with one listener each. The zero value has none. Its methods are safe
// for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	stopped   map[string]Fault
}

// Listen listens at an address. The listener must be closed.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
		n.stopped = make(map[string]Fault)
	}
	if n.listeners[address] != nil {
		return nil, errInUse
	}
	l := &listener{network: n, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Stop makes the host at an address stop responding for good.
func (n *Network) Stop(address string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopped[address] = f
}

// fault returns the fault of the host at an address, or 0.
func (n *Network) fault(address string) Fault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopped[address]
}

// Dial opens a connection to an address. It is a transport.DialFunc.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, fault := n.listeners[address], n.stopped[address]
	n.mu.Unlock()
	if fault == Dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	c := &conn{Conn: near, network: n, address: address}
	if fault == Frozen {
		return c, nil
	}
	select {
	case l.accepted <- far:
		return c, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// conn is the end of a connection at the side that opened it.
type conn struct {
	net.Conn
	network *Network
	address string // of the other side
}

// Write writes b, which is lost if the other side has stopped.
func (c *conn) Write(b []byte) (int, error) {
	if c.network.fault(c.address) != 0 {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read reads what the other side has sent, unless it has stopped since.
func (c *conn) Read(b []byte) (int, error) {
	for {
		k, err := c.Conn.Read(b)
		if err != nil || c.network.fault(c.address) == 0 {
			return k, err
		}
	}
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	address  string
	accepted chan net.Conn

	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Open connections stay.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is the address of a listener.
type addr string

func (addr) Network() string  { return "memory" }
func (a addr) String() string { return string(a) }
