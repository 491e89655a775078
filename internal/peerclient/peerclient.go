// Package peerclient calls the other routers of the fleet over HTTP with JSON
// bodies. A header carries the fleet's secret.
//
// # Usage
//
//	c := peerclient.New(peerclient.Settings{Members: follower, Secret: secret, ...})
//	defer c.Close()
//	held, err := c.FetchAnswer(ctx, holder, key)
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
	"example.org/lagoonfork/internal/transfer"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// SecretHeader is the header that carries the fleet's secret.
const SecretHeader = "X-Peer-Secret"

// Paths of the peers' endpoint.
const (
	PathStatus             = "/peer/v1/status"
	PathAnswers            = "/peer/v1/answers"
	PathBills              = "/peer/v1/records"
	PathRecall             = "/peer/v1/shares/recall"
	PathStandby            = "/peer/v1/shares/keep"
	PathLedger             = "/peer/v1/ledger/"
	PathUpstreams          = "/peer/v1/upstreams"
	PathCustomers          = "/peer/v1/customers"
	PathMetrics            = "/peer/v1/metrics"
	PathRequests           = "/peer/v1/requests/"
	PathConfigurationHead  = "/peer/v1/configuration/head"
	PathConfigurationParts = "/peer/v1/configuration/parts/"
)

const (
	// AnswerWait bounds the wait for the end of an answer in one call.
	AnswerWait = 5 * time.Second
	// ConfigurationHeadWait bounds the wait for a new configuration in one call.
	ConfigurationHeadWait = 4 * time.Second
	// connectTimeout bounds the time to connect to a peer.
	connectTimeout = time.Second
	// idleTimeout closes idle connections before middleboxes drop their state.
	idleTimeout = 30 * time.Second
	// maxBodyBytes limits the response of a peer.
	maxBodyBytes = 16 << 20
	// backoff is how long ops are not sent to an owner that did not respond.
	backoff = 2 * time.Second
	// billReplicas is the number of other failure domains in which a bill is held.
	billReplicas = 2
)

// errAnswerPending reports that an answer did not end within one call.
var errAnswerPending = errors.New("the answer has not ended yet")

// Members provides the membership of the fleet.
type Members interface {
	// Peers returns the other routers that are not gone.
	Peers(now time.Time) []membership.Member
	// LivePeersInOtherDomains returns up to n live peers from different failure domains
	// other than own.
	LivePeersInOtherDomains(n int, own ident.FailureDomain) []membership.Member
	// Owner returns the live router that owns a ledger page, and false if there is none.
	Owner(page int) (membership.Member, bool)
}

// Settings configures a Client. All fields are required.
type Settings struct {
	Members Members
	Self    ident.Incarnation
	Domain  ident.FailureDomain
	Secret  string
	// Timeout bounds calls that the peer answers at once. A large response may take
	// longer; see transfer.Limit.
	Timeout time.Duration
	Clock   func() time.Time
}

// Client calls peers. Its methods are safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
	closed   atomic.Bool

	mu           sync.Mutex
	backoffUntil map[netip.AddrPort]time.Time // end of the backoff of each router that did not respond
}

// New returns a Client.
func New(s Settings) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 4,
	}
	return &Client{
		settings:     s,
		http:         &http.Client{Transport: transport},
		backoffUntil: make(map[netip.AddrPort]time.Time),
	}
}

// Close closes the idle connections. Later calls fail with dispatch.ErrUnreachable.
func (c *Client) Close() error {
	c.closed.Store(true)
	c.http.CloseIdleConnections()
	return nil
}

// FetchAnswer waits for the end of an answer that holder produces or stores. The error
// wraps dispatch.ErrNotHeld if holder does not hold the answer.
func (c *Client) FetchAnswer(ctx context.Context, holder ident.Incarnation, key replay.Key) (held dispatch.HeldAnswer, err error) {
	defer func() { err = merry.Prependf(err, "fetching an answer from %s", holder) }()
	address, ok := c.addressOfHolder(holder)
	if !ok {
		return held, dispatch.ErrUnreachable
	}
	path := PathAnswers + "?" + url.Values{"key": {string(key)}}.Encode()
	for {
		held, err = call[dispatch.HeldAnswer](ctx, c, AnswerWait+c.settings.Timeout, http.MethodGet, address, path, nil)
		if !errors.Is(err, errAnswerPending) {
			return held, err
		}
	}
}

// HoldBills replicates bills, as ledger ops, to routers in two other failure domains. The
// error is nil only if both have accepted them.
func (c *Client) HoldBills(ctx context.Context, ops []ledger.Op) (err error) {
	defer func() { err = merry.Prepend(err, "replicating bills") }()
	members := c.settings.Members.LivePeersInOtherDomains(billReplicas, c.settings.Domain)
	if len(members) < billReplicas {
		return fmt.Errorf("%w: only %d other failure domains have a live router", dispatch.ErrUnreachable, len(members))
	}
	var g errgroup.Group
	for _, m := range members {
		g.Go(func() error {
			_, err := call[struct{}](ctx, c, c.settings.Timeout, http.MethodPost, m.Address, PathBills, ops)
			return err
		})
	}
	return g.Wait()
}

// Recall asks holder to return up to want tokens of its share of budget.
func (c *Client) Recall(ctx context.Context, holder ident.Incarnation, budget ident.Budget, want tokens.Count) (returned tokens.Count, err error) {
	defer func() { err = merry.Prependf(err, "recalling tokens from %s", holder) }()
	address, ok := c.addressOfHolder(holder)
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

// HoldStandby asks holder, the standby holder of a budget in its failure domain, to
// hold a standby reserve of the budget.
func (c *Client) HoldStandby(ctx context.Context, holder ident.Incarnation, notice wallet.Notice) (err error) {
	defer func() { err = merry.Prependf(err, "asking %s to hold a standby reserve", holder) }()
	address, ok := c.addressOfHolder(holder)
	if !ok {
		return dispatch.ErrUnreachable
	}
	_, err = call[struct{}](ctx, c, c.settings.Timeout, http.MethodPost, address, PathStandby, notice)
	return err
}

// Apply sends ops to the router that owns a ledger page. It returns
// committer.ErrLocalOwner if this router owns the page or no owner is known, and an error
// wrapping store.ErrUnavailable if the ops were certainly not sent.
func (c *Client) Apply(ctx context.Context, page int, ops []ledger.Op) (results []ledger.Result, err error) {
	defer func() { err = merry.Prependf(err, "forwarding ops to the owner of page %d", page) }()
	owner, ok := c.settings.Members.Owner(page)
	if !ok || owner.Incarnation == c.settings.Self {
		return nil, committer.ErrLocalOwner
	}
	if c.inBackoff(owner.Address) {
		return nil, store.ErrUnavailable
	}
	path := fmt.Sprint(PathLedger, page)
	results, err = call[[]ledger.Result](ctx, c, c.settings.Timeout, http.MethodPost, owner.Address, path, ops)
	if errors.Is(err, dispatch.ErrUnreachable) {
		c.startBackoff(owner.Address)
	}
	if isDialError(err) {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return results, err
}

// startBackoff starts the backoff of a router that did not respond, so that the ops of
// each page that it owns do not wait for the timeout again.
func (c *Client) startBackoff(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoffUntil[address] = c.settings.Clock().Add(backoff)
}

// inBackoff reports whether a router is in backoff.
func (c *Client) inBackoff(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.backoffUntil[address]
	if ok && c.settings.Clock().After(until) {
		delete(c.backoffUntil, address)
		return false
	}
	return ok
}

// isDialError reports whether a call failed before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Status fetches the status of a peer.
func (c *Client) Status(ctx context.Context, address netip.AddrPort) (status Status, err error) {
	defer func() { err = merry.Prependf(err, "asking %s for its status", address) }()
	return call[Status](ctx, c, c.settings.Timeout, http.MethodGet, address, PathStatus, nil)
}

// Status is the status that a router reports about itself.
type Status struct {
	VM          ident.VM          `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Revision    int64             `json:"revision"`
	Ready       bool              `json:"ready"`
	Draining    bool              `json:"draining"`
}

func (c *Client) addressOfHolder(holder ident.Incarnation) (netip.AddrPort, bool) {
	for _, m := range c.settings.Members.Peers(c.settings.Clock()) {
		if m.Incarnation == holder {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// call sends in as JSON, or no body if in is nil, and decodes the response. The error wraps
// dispatch.ErrUnreachable if the response did not begin within timeout or did not arrive,
// or is that of statusError.
func call[T any](ctx context.Context, c *Client, timeout time.Duration, method string, address netip.AddrPort, path string, in any) (out T, err error) {
	if c.closed.Load() {
		return out, dispatch.ErrUnreachable
	}
	ctx, _, stop := transfer.Limit{Begin: timeout}.Start(ctx, c.settings.Clock)
	defer stop()
	request, err := c.request(ctx, method, address, path, in)
	if err != nil {
		return out, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return out, fmt.Errorf("%w: %w", dispatch.ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	data, err := io.ReadAll(transfer.Reader(ctx, io.LimitReader(response.Body, maxBodyBytes)))
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

// statusError returns the error that a status stands for, or nil: errAnswerPending for
// 202, dispatch.ErrNotHeld for 404, and an error that wraps dispatch.ErrUnreachable for
// any other status of 300 or above.
func statusError(status int, body []byte) error {
	switch {
	case status == http.StatusAccepted:
		return errAnswerPending
	case status == http.StatusNotFound:
		return dispatch.ErrNotHeld
	case status >= http.StatusMultipleChoices:
		return fmt.Errorf("%w: status %d: %.200s", dispatch.ErrUnreachable, status, body)
	}
	return nil
}
