package configwatch

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

const (
	// defaultTimeout bounds one call.
	defaultTimeout = 3 * time.Second
	// pollTimeout bounds one wait for a peer's next revision.
	pollTimeout = 8 * time.Second
	// reviewInterval is the time after which a watch of the key-value service
	// is replaced by a new one, in case its connection has gone silent, and
	// after which a VM that does not watch considers to do so.
	reviewInterval = 5 * time.Second
	// watchReviews is the number of review intervals that a watch lasts.
	watchReviews = 12
	// firstRetry and lastRetry bound the wait between attempts.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 5 * time.Second
	// relayGrace is how long a relay that learned of a revision from another
	// one waits for its own watch to bring it.
	relayGrace = time.Second
	// startPeers is the number of peers that a starting VM asks.
	startPeers = 3
	// startPatience is the number of times that a starting VM leaves reading
	// from the service to the relays.
	startPatience = 6
)

func (s Settings) withDefaults() Settings {
	if s.Log == nil {
		s.Log = hclog.NewNullLogger()
	}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(xxhash.Sum64String(string(s.VM)), 0))
	}
	if s.Timeout <= 0 {
		s.Timeout = defaultTimeout
	}
	return s
}

// run finds a first configuration and then follows the service and the peers.
func (w *Watcher) run() error {
	ctx := w.tomb.Context(context.Background())
	w.start(ctx)
	if w.settings.Peers != nil {
		w.tomb.Go(func() error { w.followPeers(ctx); return nil })
	}
	w.followStore(ctx)
	return nil
}

// start takes the highest revision of the service and several peers.
func (w *Watcher) start(ctx context.Context) {
	waited := 0
	for failures := 0; ctx.Err() == nil && w.Revision() == 0; failures++ {
		sources := append(w.sample(), storeSource)
		findings := w.survey(ctx, sources)
		if w.leaveToRelays(findings) && waited < startPatience {
			w.pause(ctx, storeSource, waited, errOnlyStore)
			waited++
			continue
		}
		for _, found := range findings {
			if w.install(ctx, found.head, startOrder(found, findings)) == nil {
				break
			}
		}
		if w.Revision() == 0 {
			event.ConfigurationWaiting.Warn(w.settings.Log, "sources", len(sources))
			w.pause(ctx, storeSource, failures, errNotFound)
		}
	}
}

var (
	errNotFound  = errors.New("no configuration found")
	errOnlyStore = errors.New("no peer holds a configuration yet")
)

// leaveToRelays reports whether the service alone has a configuration and this
// VM is no relay. When a whole fleet starts, the relays read the parts from the
// service, and the other VMs had better read them from the relays.
func (w *Watcher) leaveToRelays(findings []finding) bool {
	return len(findings) == 1 && findings[0].source == storeSource && !w.watches()
}

// finding is the manifest that a source gave.
type finding struct {
	source ident.VM
	head   manifest.Manifest
}

// survey asks all sources at once and returns what they hold, the highest
// revision first, and peers before the service.
func (w *Watcher) survey(ctx context.Context, sources []ident.VM) (findings []finding) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, source := range sources {
		group.Go(func() {
			head, err := w.readHead(ctx, source)
			if err != nil || head.Revision == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			findings = append(findings, finding{source: source, head: head})
		})
	}
	group.Wait()
	slices.SortFunc(findings, func(x, y finding) int {
		return cmp.Or(cmp.Compare(y.head.Revision, x.head.Revision), cmp.Compare(y.source, x.source))
	})
	return findings
}

func (w *Watcher) readHead(ctx context.Context, source ident.VM) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	if source != storeSource {
		return w.settings.Peers.Head(ctx, source, -1)
	}
	entry, err := w.settings.Store.Get(ctx, manifest.HeadKey)
	if err != nil || entry.Revision == 0 {
		return manifest.Manifest{}, err
	}
	return manifest.Decode(entry.Value)
}

// startOrder returns the sources to read the parts of a finding from: the peers
// that hold a configuration, as they have most parts in any case, the one that
// gave the manifest in front, and the service last.
func startOrder(first finding, findings []finding) (order []ident.VM) {
	if first.source != storeSource {
		order = append(order, first.source)
	}
	for _, f := range findings {
		if f.source != first.source && f.source != storeSource {
			order = append(order, f.source)
		}
	}
	return append(order, storeSource)
}

// sample returns some live peers in random order.
func (w *Watcher) sample() []ident.VM {
	if w.settings.Peers == nil {
		return nil
	}
	peers := slices.DeleteFunc(slices.Clone(w.settings.Live()), func(vm ident.VM) bool { return vm == w.settings.VM })
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	w.settings.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(startPeers, len(peers))]
}

// relays returns the relays of the fleet. Without peers the VM is one itself.
func (w *Watcher) relays() []ident.VM {
	if w.settings.Peers == nil {
		return []ident.VM{w.settings.VM}
	}
	live := w.settings.Live()
	if !slices.Contains(live, w.settings.VM) {
		live = append(slices.Clone(live), w.settings.VM)
	}
	return Relays(live)
}

// watches reports whether this VM watches the key-value service.
func (w *Watcher) watches() bool {
	return w.isolated.Load() || slices.Contains(w.relays(), w.settings.VM)
}

// followStore watches the service as long as this VM is a relay or isolated.
func (w *Watcher) followStore(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !w.watches() {
			_ = wait(ctx, reviewInterval)
			continue
		}
		err := w.watchStore(ctx, &failures)
		if err == nil || errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
			continue
		}
		w.pause(ctx, storeSource, failures, err)
		failures++
	}
}

// watchStore reads the manifest in force and then each new one. It returns nil
// when the watch is due to be replaced.
func (w *Watcher) watchStore(ctx context.Context, failures *int) (err error) {
	entries, revision, err := w.listHead(ctx)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := w.accept(ctx, entry); err != nil {
			return err
		}
	}
	*failures = 0
	watch, err := w.settings.Store.Watch(ctx, manifest.HeadKey, revision)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, watch.Close()) }()
	w.watching.Store(true)
	defer w.watching.Store(false)
	return w.followWatch(ctx, watch)
}

func (w *Watcher) listHead(ctx context.Context) ([]store.Entry, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	return w.settings.Store.List(ctx, manifest.HeadKey)
}

func (w *Watcher) followWatch(ctx context.Context, watch store.Watch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var review sync.WaitGroup
	defer review.Wait()
	defer cancel(errReview)
	review.Go(func() { w.endWatch(ctx, cancel) })
	for {
		batch, err := watch.Next(ctx)
		if errors.Is(context.Cause(ctx), errReview) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range batch.Events {
			if e.Deleted {
				continue
			}
			if err := w.accept(ctx, e.Entry); err != nil {
				return err
			}
		}
	}
}

// errReview is the cause of ending a watch that is due to be replaced.
var errReview = errors.New("watch is due to be replaced")

// endWatch ends a watch after some time, or once the VM need not watch.
func (w *Watcher) endWatch(ctx context.Context, end context.CancelCauseFunc) {
	for range watchReviews {
		if wait(ctx, reviewInterval) != nil || !w.watches() {
			break
		}
	}
	end(errReview)
}

// accept puts a manifest of the service in force.
func (w *Watcher) accept(ctx context.Context, entry store.Entry) error {
	head, err := manifest.Decode(entry.Value)
	if err != nil {
		event.ConfigurationUnreadable.Error(w.settings.Log, "revision", 0, "source", name(storeSource), "error", err)
		return err
	}
	return w.install(ctx, head, []ident.VM{storeSource})
}

// followPeers waits at one relay after another for the next revision.
func (w *Watcher) followPeers(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		reached := 0
		for _, peer := range preferred(w.settings.VM, w.relays()) {
			if err := w.poll(ctx, peer); err != nil {
				event.ConfigurationSourceLost.Debug(w.settings.Log, "source", peer, "error", err)
				continue
			}
			reached++
		}
		w.setIsolated(reached == 0)
		if reached > 0 {
			failures = 0
			continue
		}
		_ = wait(ctx, w.backoff(failures))
		failures++
	}
}

var errNoPeer = errors.New("no relay was reached")

func (w *Watcher) setIsolated(isolated bool) {
	if w.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		event.ConfigurationFollows.Warn(w.settings.Log, "source", name(storeSource), "reason", errNoPeer)
		return
	}
	event.ConfigurationFollows.Info(w.settings.Log, "source", "relays", "reason", "a relay was reached")
}

// poll waits until a peer holds a higher revision, and follows it for as long
// as it has one.
func (w *Watcher) poll(ctx context.Context, peer ident.VM) error {
	for {
		above := w.Revision()
		head, err := w.waitHead(ctx, peer)
		if err != nil {
			return err
		}
		if head.Revision <= above {
			return nil
		}
		if w.watching.Load() {
			_ = wait(ctx, relayGrace)
		}
		if err := w.install(ctx, head, []ident.VM{peer, storeSource}); err != nil {
			return err
		}
	}
}

func (w *Watcher) waitHead(ctx context.Context, peer ident.VM) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := w.settings.Peers.Head(ctx, peer, w.Revision())
	return head, merry.Prependf(err, "waiting at %s", peer)
}

// pause logs the loss of a source and waits before the next attempt.
func (w *Watcher) pause(ctx context.Context, source ident.VM, failures int, err error) {
	d := w.backoff(failures)
	event.ConfigurationSourceLost.Warn(w.settings.Log, "source", name(source), "retryAfter", d, "error", err)
	_ = wait(ctx, d)
}

// backoff returns the time before the next attempt, twice as long after each
// failure.
func (w *Watcher) backoff(failures int) time.Duration {
	d := min(firstRetry<<min(failures, 10), lastRetry)
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return d/2 + time.Duration(w.settings.Random.Int64N(int64(d/2)))
}

// wait waits until d has passed or ctx has ended.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
