// Package peerclient calls the other routers of the fleet: HTTP with JSON, with
// the fleet's secret in a header.
//
// # Usage
//
//	c := peerclient.New(peerclient.Settings{Members: follower, Secret: secret, ...})
//	defer c.Close()
//	held, err := c.Answer(ctx, holder, key)
package peerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/dispatch"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/replay"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// SecretHeader is the header that carries the fleet's secret.
const SecretHeader = "X-Peer-Secret"

// Paths of the endpoint for peers.
const (
	PathStatus    = "/peer/v1/status"
	PathAnswers   = "/peer/v1/answers"
	PathRecords   = "/peer/v1/records"
	PathRecall    = "/peer/v1/shares/recall"
	PathKeep      = "/peer/v1/shares/keep"
	PathLedger    = "/peer/v1/ledger/"
	PathUpstreams = "/peer/v1/upstreams"
	PathCustomers = "/peer/v1/customers"
	PathMetrics   = "/peer/v1/metrics"
	PathRequests  = "/peer/v1/requests/"
	PathHead      = "/peer/v1/configuration/head"
	PathParts     = "/peer/v1/configuration/parts/"
)

const (
	// AnswerWait is how long one call waits for the end of an answer.
	AnswerWait = 5 * time.Second
	// HeadWait is how long one call waits for a new configuration.
	HeadWait = 4 * time.Second
	// connectTimeout bounds the time to connect to a peer.
	connectTimeout = time.Second
	// idleTimeout closes pooled connections before middleboxes forget them.
	idleTimeout = 30 * time.Second
	// maxBody bounds the response of a peer, in bytes.
	maxBody = 16 << 20
	// silentPause is how long a router that did not answer is avoided.
	silentPause = 2 * time.Second
	// witnesses is the number of other failure domains that hold a bill.
	witnesses = 2
)

// errNotYet reports that an answer has not ended within one call.
var errNotYet = errors.New("answer not ended yet")

// Members knows the other routers.
type Members interface {
	Peers(now time.Time) []membership.Member
	Witnesses(n int, own ident.FailureDomain) []membership.Member
	Owner(page int) (membership.Member, bool)
}

// Settings of a Client. All fields are required.
type Settings struct {
	Members Members
	Self    ident.Incarnation
	Domain  ident.FailureDomain
	Secret  string
	Timeout time.Duration // of a call that is answered at once
	Clock   func() time.Time
}

// Client calls peers. Its methods are safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	closed   atomic.Bool

	mu       sync.Mutex
	silentTo map[netip.AddrPort]time.Time // routers to be avoided, and until when
}

// New returns a client.
func New(s Settings) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 4,
	}
	return &Client{
		settings: s,
		http:     &http.Client{Transport: transport},
		silentTo: make(map[netip.AddrPort]time.Time),
	}
}

// Close closes the idle connections. Later calls fail with
// dispatch.ErrUnreachable.
func (c *Client) Close() error {
	c.closed.Store(true)
	c.http.CloseIdleConnections()
	return nil
}

// Answer waits for the end of an answer that holder produces or holds.
func (c *Client) Answer(ctx context.Context, holder ident.Incarnation, key replay.Key) (held dispatch.Held, err error) {
	defer func() { err = merry.Prependf(err, "fetching an answer from %s", holder) }()
	address, ok := c.address(holder)
	if !ok {
		return held, dispatch.ErrUnreachable
	}
	path := PathAnswers + "?" + url.Values{"key": {string(key)}}.Encode()
	for {
		held, err = call[dispatch.Held](ctx, c, AnswerWait+c.settings.Timeout, http.MethodGet, address, path, nil)
		if !errors.Is(err, errNotYet) {
			return held, err
		}
	}
}

// Hold gives ops to routers in two other failure domains.
func (c *Client) Hold(ctx context.Context, ops []ledger.Op) (err error) {
	defer func() { err = merry.Prepend(err, "handing over bills") }()
	members := c.settings.Members.Witnesses(witnesses, c.settings.Domain)
	if len(members) < witnesses {
		return fmt.Errorf("%w: %d other failure domains have a live router", dispatch.ErrUnreachable, len(members))
	}
	var g errgroup.Group
	for _, m := range members {
		g.Go(func() error {
			_, err := call[struct{}](ctx, c, c.settings.Timeout, http.MethodPost, m.Address, PathRecords, ops)
			return err
		})
	}
	return g.Wait()
}

// Recall asks holder to return up to want tokens of its share.
func (c *Client) Recall(ctx context.Context, holder ident.Incarnation, budget ident.Budget, want tokens.Count) (returned tokens.Count, err error) {
	defer func() { err = merry.Prependf(err, "recalling from %s", holder) }()
	address, ok := c.address(holder)
	if !ok {
		return 0, dispatch.ErrUnreachable
	}
	request := struct {
		Budget ident.Budget `json:"budget"`
		Want   tokens.Count `json:"want"`
	}{budget, want}
	response, err := call[struct {
		Returned tokens.Count `json:"returned"`
	}](ctx, c, c.settings.Timeout, http.MethodPost, address, PathRecall, request)
	return response.Returned, err
}

// Keep asks a router to hold a reserve of a budget.
func (c *Client) Keep(ctx context.Context, holder ident.Incarnation, notice wallet.Notice) (err error) {
	defer func() { err = merry.Prependf(err, "asking %s to keep a reserve", holder) }()
	address, ok := c.address(holder)
	if !ok {
		return dispatch.ErrUnreachable
	}
	_, err = call[struct{}](ctx, c, c.settings.Timeout, http.MethodPost, address, PathKeep, notice)
	return err
}

// Apply sends ops to the router that owns a ledger page. It returns
// committer.ErrOwner if that is this router, and store.ErrUnavailable if the
// ops were certainly not sent.
func (c *Client) Apply(ctx context.Context, page int, ops []ledger.Op) (results []ledger.Result, err error) {
	defer func() { err = merry.Prependf(err, "forwarding to the owner of page %d", page) }()
	owner, ok := c.settings.Members.Owner(page)
	if !ok || owner.Incarnation == c.settings.Self {
		return nil, committer.ErrOwner
	}
	if c.silent(owner.Address) {
		return nil, store.ErrUnavailable
	}
	path := fmt.Sprint(PathLedger, page)
	results, err = call[[]ledger.Result](ctx, c, c.settings.Timeout, http.MethodPost, owner.Address, path, ops)
	if errors.Is(err, dispatch.ErrUnreachable) {
		c.avoid(owner.Address)
	}
	if isDial(err) {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return results, err
}

// avoid has ops sent past a router for a while, so that the pages that it owns
// do not each wait for its timeout.
func (c *Client) avoid(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentTo[address] = c.settings.Clock().Add(silentPause)
}

// silent reports whether a router did not answer lately.
func (c *Client) silent(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.silentTo[address]
	if ok && c.settings.Clock().After(until) {
		delete(c.silentTo, address)
		return false
	}
	return ok
}

// isDial reports whether a call failed before a connection was made.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Status asks whether a peer answers.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (status Status, err error) {
	defer func() { err = merry.Prependf(err, "asking %s for its status", address) }()
	return call[Status](ctx, c, c.settings.Timeout, http.MethodGet, address, PathStatus, nil)
}

// Status is what a router says of itself.
type Status struct {
	VM          ident.VM          `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Revision    int64             `json:"revision"`
	Ready       bool              `json:"ready"`
	Draining    bool              `json:"draining"`
}

func (c *Client) address(holder ident.Incarnation) (netip.AddrPort, bool) {
	for _, m := range c.settings.Members.Peers(c.settings.Clock()) {
		if m.Incarnation == holder {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// call sends in as JSON and decodes the response.
func call[T any](ctx context.Context, c *Client, timeout time.Duration, method string, address netip.AddrPort, path string, in any) (out T, err error) {
	if c.closed.Load() {
		return out, dispatch.ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.request(ctx, method, address, path, in)
	if err != nil {
		return out, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return out, fmt.Errorf("%w: %w", dispatch.ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return out, fmt.Errorf("%w: %w", dispatch.ErrUnreachable, err)
	}
	if err := statusError(response.StatusCode, data); err != nil {
		return out, err
	}
	if len(data) == 0 {
		return out, nil
	}
	return out, json.Unmarshal(data, &out)
}

func (c *Client) request(ctx context.Context, method string, address netip.AddrPort, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set(SecretHeader, c.settings.Secret)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func statusError(status int, body []byte) error {
	switch {
	case status == http.StatusAccepted:
		return errNotYet
	case status == http.StatusNotFound:
		return dispatch.ErrNotHeld
	case status >= http.StatusMultipleChoices:
		return fmt.Errorf("%w: status %d: %.200s", dispatch.ErrUnreachable, status, body)
	}
	return nil
}
