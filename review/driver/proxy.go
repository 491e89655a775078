//go:build review

package main

import (
	"net"
	"sync"
)

// proxy forwards TCP connections to a target on the loopback interface.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*pipe]struct{}
}

// pipe is one forwarded connection.
type pipe struct {
	client, target net.Conn
	mu             sync.Mutex
	silent         bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[*pipe]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	t := &pipe{client: c, target: target}
	p.mu.Lock()
	p.conns[t] = struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); t.copy(target, c) }()
	go func() { defer copies.Done(); t.copy(c, target) }()
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, t)
	p.mu.Unlock()
}

// copy forwards one direction. Nothing passes a silent connection, not even its end.
func (t *pipe) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		t.mu.Lock()
		silent := t.silent
		t.mu.Unlock()
		if silent {
			if err != nil {
				from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good. New ones work. It returns their
// number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for t := range p.conns {
		t.mu.Lock()
		if !t.silent {
			t.silent = true
			n++
		}
		t.mu.Unlock()
	}
	return n
}
