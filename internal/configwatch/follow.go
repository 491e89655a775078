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
	// defaultTimeout is the default of Settings.Timeout.
	defaultTimeout = 3 * time.Second
	// pollTimeout limits one long poll of a relay, which responds after 4 s if there is no change.
	// Together with a read of the service it stays below the 8 s in which a change has to be in
	// force.
	pollTimeout = 5 * time.Second
	// maxSilence is the time without a response after which a poll that fails is followed by a
	// read of the service.
	maxSilence = 2 * time.Second
	// roleCheckInterval is the interval at which a VM checks whether it has to
	// watch the key-value service.
	roleCheckInterval = 5 * time.Second
	// checksPerWatch is the lifetime of a watch in units of roleCheckInterval.
	// Watches are replaced regularly in case the connection has gone silent.
	checksPerWatch = 12
	// minBackoff and maxBackoff limit the delay between attempts, before jitter.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// watchGracePeriod is how long a relay that learned of a revision from
	// another relay waits for its own watch to deliver it.
	watchGracePeriod = time.Second
	// initialPeers is the maximum number of peers that a VM asks at startup.
	initialPeers = 3
	// maxDeferrals is the maximum number of times that a VM at startup waits for
	// the relays to read the configuration instead of reading it from the service.
	maxDeferrals = 6
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
	if s.Clock == nil {
		s.Clock = time.Now
	}
	return s
}

// run loads the first configuration and then follows the service and the relays.
func (w *Watcher) run() error {
	ctx := w.tomb.Context(context.Background())
	w.loadInitial(ctx)
	if w.settings.Peers != nil {
		w.tomb.Go(func() error { w.followRelays(ctx); return nil })
	}
	w.followStore(ctx)
	return nil
}

// loadInitial puts the highest revision found at the service and at several
// peers in force. It retries until a revision is in force or ctx ends.
func (w *Watcher) loadInitial(ctx context.Context) {
	deferrals := 0
	for failures := 0; ctx.Err() == nil && w.Revision() == 0; failures++ {
		sources := append(w.randomPeers(), storeSource)
		heads := w.readHeads(ctx, sources)
		if w.deferToRelays(heads) && deferrals < maxDeferrals {
			w.waitToRetry(ctx, storeSource, deferrals, errOnlyStore)
			deferrals++
			continue
		}
		for _, candidate := range heads {
			if w.install(ctx, candidate.head, partSources(candidate, heads)) == nil {
				break
			}
		}
		if w.Revision() == 0 {
			event.ConfigurationNotFound.Warn(w.settings.Log, "sources", len(sources))
			w.waitToRetry(ctx, storeSource, failures, errNotFound)
		}
	}
}

var (
	errNotFound  = errors.New("no configuration found")
	errOnlyStore = errors.New("no peer holds a configuration yet")
)

// deferToRelays reports whether only the service has a configuration and this
// VM is not a relay. When a whole fleet starts, the relays read the parts from
// the service, and the other VMs should read them from the relays to limit the
// load on the service.
func (w *Watcher) deferToRelays(heads []sourceHead) bool {
	return len(heads) == 1 && heads[0].source == storeSource && !w.shouldWatch()
}

// sourceHead is the manifest returned by a source.
type sourceHead struct {
	source ident.VM
	head   manifest.Manifest
}

// readHeads reads the manifests of all sources concurrently and returns those
// found, ordered by descending revision, with peers before the service.
func (w *Watcher) readHeads(ctx context.Context, sources []ident.VM) (heads []sourceHead) {
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
			heads = append(heads, sourceHead{source: source, head: head})
		})
	}
	group.Wait()
	slices.SortFunc(heads, func(x, y sourceHead) int {
		return cmp.Or(cmp.Compare(y.head.Revision, x.head.Revision), cmp.Compare(y.source, x.source))
	})
	return heads
}

// readHead returns the manifest of one source without waiting for a change. Its
// revision is 0 if the source has none.
func (w *Watcher) readHead(ctx context.Context, source ident.VM) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	if source != storeSource {
		return w.settings.Peers.ConfigurationHead(ctx, source, -1)
	}
	entry, err := w.settings.Store.Get(ctx, manifest.HeadKey)
	if err != nil || !entry.Exists() {
		return manifest.Manifest{}, err
	}
	return manifest.Decode(entry.Value)
}

// partSources returns the sources to read the parts of candidate from: the peer
// that returned it, if any, then the other peers that hold a configuration, as
// they have most parts even of another revision, and the service last.
func partSources(candidate sourceHead, heads []sourceHead) (sources []ident.VM) {
	if candidate.source != storeSource {
		sources = append(sources, candidate.source)
	}
	for _, h := range heads {
		if h.source != candidate.source && h.source != storeSource {
			sources = append(sources, h.source)
		}
	}
	return append(sources, storeSource)
}

// randomPeers returns up to initialPeers live peers in random order.
func (w *Watcher) randomPeers() []ident.VM {
	if w.settings.Peers == nil {
		return nil
	}
	peers := slices.DeleteFunc(slices.Clone(w.settings.LiveVMs()), func(vm ident.VM) bool { return vm == w.settings.VM })
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	w.settings.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(initialPeers, len(peers))]
}

// relays returns the relays of the fleet. Without peers, this VM is the only
// relay.
func (w *Watcher) relays() []ident.VM {
	if w.settings.Peers == nil {
		return []ident.VM{w.settings.VM}
	}
	live := w.settings.LiveVMs()
	if !slices.Contains(live, w.settings.VM) {
		live = append(slices.Clone(live), w.settings.VM)
	}
	return Relays(live)
}

// shouldWatch reports whether this VM has to watch the key-value service, as a
// relay or because it reaches no relay.
func (w *Watcher) shouldWatch() bool {
	return w.isolated.Load() || slices.Contains(w.relays(), w.settings.VM)
}

// followStore watches the service while this VM is a relay or isolated.
func (w *Watcher) followStore(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			_ = sleep(ctx, roleCheckInterval)
			continue
		}
		err := w.watchStore(ctx, &failures)
		if err == nil || errors.Is(err, store.ErrCompacted) || ctx.Err() != nil {
			continue
		}
		w.waitToRetry(ctx, storeSource, failures, err)
		failures++
	}
}

// watchStore installs the manifest in the service and then each new one. It
// returns nil when the watch has expired.
func (w *Watcher) watchStore(ctx context.Context, failures *int) (err error) {
	entries, revision, err := w.listHead(ctx)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := w.installEntry(ctx, entry); err != nil {
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
	return w.receiveEvents(ctx, watch)
}

// listHead returns the entry of the manifest, if any, and the revision of the
// store to watch from.
func (w *Watcher) listHead(ctx context.Context) ([]store.Entry, store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	return w.settings.Store.List(ctx, manifest.HeadKey)
}

// receiveEvents installs the manifests that the watch delivers. It returns nil
// when the watch has expired.
func (w *Watcher) receiveEvents(ctx context.Context, watch store.Watch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var expiry sync.WaitGroup
	defer expiry.Wait()
	defer cancel(errWatchExpired)
	expiry.Go(func() { w.expireWatch(ctx, cancel) })
	for {
		batch, err := watch.Next(ctx)
		if errors.Is(context.Cause(ctx), errWatchExpired) {
			return nil
		}
		if err != nil {
			return err
		}
		for _, e := range batch.Events {
			if e.Deleted {
				continue
			}
			if err := w.installEntry(ctx, e.Entry); err != nil {
				return err
			}
		}
	}
}

// errWatchExpired is the cancellation cause of a watch that is due to be
// replaced or no longer needed.
var errWatchExpired = errors.New("watch is due to be replaced")

// expireWatch ends a watch at the end of its lifetime, or when the VM no longer
// has to watch.
func (w *Watcher) expireWatch(ctx context.Context, end context.CancelCauseFunc) {
	for range checksPerWatch {
		if sleep(ctx, roleCheckInterval) != nil || !w.shouldWatch() {
			break
		}
	}
	end(errWatchExpired)
}

// installEntry installs a manifest read from the service.
func (w *Watcher) installEntry(ctx context.Context, entry store.Entry) error {
	head, err := manifest.Decode(entry.Value)
	if err != nil {
		event.ConfigurationUnreadable.Error(w.settings.Log, "revision", 0, "source", sourceName(storeSource), "error", err)
		return err
	}
	return w.install(ctx, head, []ident.VM{storeSource})
}

// followRelays polls the relays in turn for new revisions. The VM is isolated
// while no relay is reachable. It reads the service itself if no relay has responded
// for a time, since the next ones may be silent too.
func (w *Watcher) followRelays(ctx context.Context) {
	failures, heard := 0, w.settings.Clock()
	for ctx.Err() == nil {
		reached := 0
		for _, relay := range pollOrder(w.settings.VM, w.relays()) {
			if err := w.followRelay(ctx, relay); err != nil {
				event.ConfigurationSourceLost.Debug(w.settings.Log, "source", relay, "error", err)
				if w.settings.Clock().Sub(heard) >= maxSilence {
					w.readStore(ctx)
					heard = w.settings.Clock()
				}
				continue
			}
			heard = w.settings.Clock()
			reached++
		}
		w.setIsolated(reached == 0)
		if reached > 0 {
			failures = 0
			continue
		}
		_ = sleep(ctx, w.backoff(failures))
		failures++
	}
}

// readStore installs the revision in the service if it is higher, unless a watch delivers it.
func (w *Watcher) readStore(ctx context.Context) {
	if w.watching.Load() {
		return
	}
	head, err := w.readHead(ctx, storeSource)
	if err == nil && head.Revision > w.Revision() {
		err = w.install(ctx, head, []ident.VM{storeSource})
	}
	if err != nil {
		event.ConfigurationSourceLost.Debug(w.settings.Log, "source", sourceName(storeSource), "error", err)
	}
}

var errNoRelay = errors.New("no relay was reached")

// setIsolated records whether no relay is reachable, and logs each change.
func (w *Watcher) setIsolated(isolated bool) {
	if w.isolated.Swap(isolated) == isolated {
		return
	}
	if isolated {
		event.ConfigurationSourceChosen.Warn(w.settings.Log, "source", sourceName(storeSource), "reason", errNoRelay)
		return
	}
	event.ConfigurationSourceChosen.Info(w.settings.Log, "source", "relays", "reason", "a relay was reached")
}

// followRelay polls a relay and installs its revisions until a poll returns no
// higher one.
func (w *Watcher) followRelay(ctx context.Context, relay ident.VM) error {
	for {
		above := w.Revision()
		head, err := w.pollHead(ctx, relay)
		if err != nil {
			return err
		}
		if head.Revision <= above {
			return nil
		}
		if w.watching.Load() {
			_ = sleep(ctx, watchGracePeriod)
		}
		if err := w.install(ctx, head, []ident.VM{relay, storeSource}); err != nil {
			return err
		}
	}
}

// pollHead waits until a relay holds a revision higher than the one in force, or
// for one poll, and returns the relay's manifest.
func (w *Watcher) pollHead(ctx context.Context, relay ident.VM) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	head, err := w.settings.Peers.ConfigurationHead(ctx, relay, w.Revision())
	return head, merry.Prependf(err, "polling %s", relay)
}

// waitToRetry logs the failure of a source and waits before the next attempt.
func (w *Watcher) waitToRetry(ctx context.Context, source ident.VM, failures int, err error) {
	d := w.backoff(failures)
	event.ConfigurationSourceLost.Warn(w.settings.Log, "source", sourceName(source), "retryAfter", d, "error", err)
	_ = sleep(ctx, d)
}

// backoff returns the delay before the next attempt: a random value between half
// of a limit and the limit, which doubles with each failure up to maxBackoff.
func (w *Watcher) backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures, 10), maxBackoff)
	w.randomMu.Lock()
	defer w.randomMu.Unlock()
	return d/2 + time.Duration(w.settings.Random.Int64N(int64(d/2)))
}

// sleep waits until d has passed or ctx has ended.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
