// Package configwatch keeps the configuration in force on a VM.
//
// A Watcher holds the highest revision that it has seen and never returns to a
// lower one. It learns of revisions from the key-value service and from other
// VMs, and reads only the parts of a configuration that it does not hold yet.
// While neither is reachable, it keeps the revision that it holds.
//
// A few VMs, the relays, watch the key-value service; Relays selects them. All
// VMs, relays included, long-poll the relays in turn. So a change takes one hop
// to the relays and a second hop to all other VMs, a silent connection delays it
// by one poll, and the number of watches grows with the square root of
// the number of VMs. A relay installs a revision from another relay only if its
// own watch does not deliver it within a second. A VM that reaches no relay
// watches the service itself.
//
// At startup a VM installs the highest revision found at the service and at
// several peers, so that it can start while the service is unreachable.
//
// # Usage
//
//	w := configwatch.Start(configwatch.Settings{Store: s, VM: vm, Peers: peers, LiveVMs: live})
//	defer w.Close()
//	if err := w.AwaitFirst(ctx); err != nil {
//		return err
//	}
//	app, customer, ok := w.Index().ApplicationByKey(hash)
//
// To follow changes, get the channel before the configuration:
//
//	for {
//		changed := w.Changed()
//		use(w.Current())
//		<-changed
//	}
package configwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
)

// Peers gives access to the watchers of other VMs. Implementations are safe
// for concurrent use.
type Peers interface {
	// ConfigurationHead waits until the peer holds a revision higher than above
	// and returns its manifest. If there is none within a few seconds, it returns
	// the peer's current manifest, of which only the revision may be set. If above
	// is negative, ConfigurationHead returns immediately.
	ConfigurationHead(ctx context.Context, peer ident.VM, above configuration.Revision) (manifest.Manifest, error)
	// ConfigurationPart returns the content of a part, or an error that wraps
	// manifest.ErrMissing.
	ConfigurationPart(ctx context.Context, peer ident.VM, digest manifest.Digest) ([]byte, error)
}

// Settings are the settings of a Watcher.
type Settings struct {
	VM    ident.VM
	Store store.Store
	// Peers is nil if there is only one VM.
	Peers Peers
	// LiveVMs returns the live VMs of the fleet. This VM may be missing from the
	// list. LiveVMs is not called if Peers is nil.
	LiveVMs func() []ident.VM
	Log     hclog.Logger // nil disables logging
	// Random adds jitter to retries and selects the peers to ask at startup.
	// If nil, a generator seeded with a hash of VM is used, so that VMs differ.
	Random *rand.Rand
	// Timeout limits each call to a peer or the service, except for long polls
	// and watches. The default is 3 s. A part that arrives may take longer; see
	// transfer.Limit.
	Timeout time.Duration
	// Clock measures how long calls take. The default is time.Now.
	Clock func() time.Time
}

// Watcher keeps the configuration in force on a VM. Its methods are safe for
// concurrent use.
type Watcher struct {
	settings Settings
	tomb     tomb.Tomb
	current  atomic.Pointer[snapshot]
	// isolated reports whether no relay was reachable in the last round of polls.
	isolated atomic.Bool
	// watching reports whether a watch of the service is open.
	watching atomic.Bool

	randomMu sync.Mutex // guards settings.Random

	mu      sync.Mutex // guards changed and updates of current
	changed chan struct{}
}

// snapshot is a complete revision. It is immutable.
type snapshot struct {
	head    manifest.Manifest
	source  ident.VM // empty for the key-value service
	base    manifest.Base
	buckets map[manifest.Digest]manifest.Bucket
	index   *configuration.Index
}

// Status describes the revision in force and its source.
type Status struct {
	Revision configuration.Revision `json:"revision"`
	Source   ident.VM               `json:"source,omitempty"` // empty for the key-value service
	Watching bool                   `json:"watching"`         // whether the VM has to watch the key-value service
}

// Start returns a running watcher. It does not wait for a configuration.
func Start(settings Settings) *Watcher {
	w := &Watcher{settings: settings.withDefaults(), changed: make(chan struct{})}
	w.current.Store(&snapshot{})
	w.tomb.Go(w.run)
	return w
}

// Close stops the watcher and waits until its goroutines have ended.
func (w *Watcher) Close() error {
	w.tomb.Kill(nil)
	return w.tomb.Wait()
}

// Current returns the configuration in force, or nil before the first one.
func (w *Watcher) Current() *configuration.Configuration {
	if x := w.Index(); x != nil {
		return x.Configuration()
	}
	return nil
}

// Index returns the index of the configuration in force, or nil before the
// first one.
func (w *Watcher) Index() *configuration.Index {
	return w.current.Load().index
}

// Revision returns the revision in force, or 0 before the first one.
func (w *Watcher) Revision() configuration.Revision {
	return w.current.Load().head.Revision
}

// Status returns the revision in force and its source.
func (w *Watcher) Status() Status {
	s := w.current.Load()
	return Status{Revision: s.head.Revision, Source: s.source, Watching: w.shouldWatch()}
}

// Changed returns a channel that is closed when the next revision is put in
// force.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// AwaitFirst waits until a configuration is in force or ctx ends.
func (w *Watcher) AwaitFirst(ctx context.Context) error {
	w.AwaitHead(ctx, 0)
	if w.Revision() > 0 {
		return nil
	}
	return context.Cause(ctx)
}

// Head returns the manifest of the revision in force.
func (w *Watcher) Head() manifest.Manifest {
	return w.current.Load().head
}

// AwaitHead waits until a revision higher than above is in force and returns
// its manifest. If ctx ends or the watcher is closed first, the manifest has
// only its revision set: peers poll continuously, and a full manifest may have
// tens of kilobytes.
func (w *Watcher) AwaitHead(ctx context.Context, above configuration.Revision) manifest.Manifest {
	for {
		changed := w.Changed()
		if head := w.Head(); head.Revision > above {
			return head
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return w.headAbove(above)
		case <-w.tomb.Dying():
			return w.headAbove(above)
		}
	}
}

// headAbove returns the manifest in force, or only its revision if that is not
// higher than above.
func (w *Watcher) headAbove(above configuration.Revision) manifest.Manifest {
	head := w.Head()
	if head.Revision <= above {
		return manifest.Manifest{Revision: head.Revision}
	}
	return head
}

// Part returns the content of a part of the revision in force, to be sent to a
// peer. It returns manifest.ErrMissing if that revision has no such part.
func (w *Watcher) Part(digest manifest.Digest) ([]byte, error) {
	s := w.current.Load()
	parts := make(manifest.Parts, 1)
	var err error
	if bucket, ok := s.buckets[digest]; ok {
		_, err = parts.Add(bucket)
	} else if digest == s.head.Base {
		_, err = parts.Add(s.base)
	}
	if err != nil {
		return nil, err
	}
	data, ok := parts[digest]
	if !ok {
		return nil, manifest.ErrMissing
	}
	return data, nil
}
