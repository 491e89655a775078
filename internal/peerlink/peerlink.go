// Package peerlink sends short RPCs to other routers.
//
// A call is a POST request with a JSON body and a JSON response. After a failed call, a
// router is in backoff and further calls to it fail immediately, so that callers do not
// wait for its timeout one after another. If the call got no response on an open connection,
// which may have gone silent, the backoff ends as soon as a new connection can be opened.
//
// # Usage
//
//	links := peerlink.New(peerlink.Settings{Timeout: 150 * time.Millisecond, Clock: time.Now})
//	defer links.Close()
//	err := links.Post(ctx, address, "/peer/loans", payload, &result)
package peerlink

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/store"
)

const (
	// backoff is how long a router is not called after a failed call.
	backoff = 2 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 10 * time.Second
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 4 << 20
)

// Settings configures Links. All fields but Dial are required.
type Settings struct {
	// Dial opens connections. It may be nil.
	Dial transport.DialFunc
	// Timeout bounds one call. A large response may take longer; see transfer.Limit.
	Timeout time.Duration
	Clock   func() time.Time
}

// Links holds the connections to other routers. Its methods are safe for concurrent
// use.
type Links struct {
	settings Settings
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	checks   sync.WaitGroup // of connections

	mu     sync.Mutex
	closed bool
	peers  map[netip.AddrPort]*peer
}

// peer holds the connections to one router and its backoff state.
type peer struct {
	transport    *transport.Transport
	backoffUntil time.Time
}

// New returns Links without open connections.
func New(s Settings) *Links {
	l := &Links{settings: s, peers: make(map[netip.AddrPort]*peer)}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Close closes all connections.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.checks.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.transport.Close()
	}
}

// Post sends payload to a path of a router and decodes the response into result. The
// error wraps store.ErrUnavailable if the router has not executed the call and will
// not, and store.ErrUnknown if it may have. It also wraps store.ErrNoResponse if the call
// got no response on a connection that had worked before.
func (l *Links) Post(ctx context.Context, address netip.AddrPort, path string, payload, result any) (err error) {
	defer func() { err = merry.Prependf(err, "calling %s at %s", path, address) }()
	p := l.availablePeer(address)
	if p == nil {
		return merry.Prepend(store.ErrUnavailable, "peer is in backoff after a failed call")
	}
	ctx, _, stop := transfer.Limit{Begin: l.settings.Timeout}.Start(ctx, l.settings.Clock)
	defer stop()
	if err = post(ctx, p.transport, "http://"+address.String()+path, payload, result); err != nil {
		l.StartBackoff(address)
	}
	if errors.Is(err, store.ErrNoResponse) {
		l.checkConnection(address)
	}
	return err
}

// checkConnection ends the backoff of a router in the background if a new connection to it can
// be opened.
func (l *Links) checkConnection(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.checks.Go(func() {
		c, err := l.settings.Dial.Within(l.settings.Timeout)(l.ctx, "tcp", address.String())
		if err != nil {
			return
		}
		_ = c.Close() // nothing was sent
		l.endBackoff(address)
	})
}

// endBackoff ends the backoff of a router.
func (l *Links) endBackoff(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		p.backoffUntil = time.Time{}
	}
}

// ResetBackoff ends the backoff of all routers.
func (l *Links) ResetBackoff() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.backoffUntil = time.Time{}
	}
}

// InBackoff reports whether a router is in backoff after a failed call.
func (l *Links) InBackoff(address netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[address]
	return p != nil && l.settings.Clock().Before(p.backoffUntil)
}

// availablePeer returns the peer at an address, or nil if it is in backoff.
func (l *Links) availablePeer(address netip.AddrPort) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[address]
	if p == nil {
		p = &peer{transport: transport.New(transport.Settings{Dial: l.settings.Dial, ConnectTimeout: l.settings.Timeout, IdleLimit: idleTimeout})}
		l.peers[address] = p
	}
	if l.settings.Clock().Before(p.backoffUntil) {
		return nil
	}
	return p
}

// StartBackoff starts the backoff of a router that has been called before.
func (l *Links) StartBackoff(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers[address]; p != nil {
		p.backoffUntil = l.settings.Clock().Add(backoff)
	}
}

func post(ctx context.Context, t *transport.Transport, url string, payload, result any) error {
	body, err := json.Marshal(payload)
	if err != nil {
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	request.Header.Set("Content-Type", "application/json")
	response, sent, err := t.Do(request, transport.Pooled)
	switch {
	case err != nil && sent:
		return unknown(err)
	case err != nil:
		return merry.Prepend(store.ErrUnavailable, err.Error())
	}
	defer func() { _ = response.Body.Close() }() // the body was read
	data, err := io.ReadAll(transfer.Reader(ctx, io.LimitReader(response.Body, maxResponseBytes)))
	switch {
	case err != nil:
		return unknown(err)
	case response.StatusCode == http.StatusServiceUnavailable:
		return store.ErrUnavailable
	case response.StatusCode != http.StatusOK:
		return merry.Prependf(store.ErrUnknown, "status %d", response.StatusCode)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return merry.Prepend(store.ErrUnknown, err.Error())
	}
	return nil
}

// unknown returns the error of a call that may have been executed. It also wraps
// store.ErrNoResponse if the connection may be the cause.
func unknown(cause error) (err error) {
	err = store.ErrUnknown
	if errors.Is(cause, transport.ErrStale) {
		err = fmt.Errorf("%w: %w", store.ErrNoResponse, err)
	}
	return merry.Prepend(err, cause.Error())
}
