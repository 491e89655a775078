// Package configwatch keeps the configuration in force on a VM.
//
// A Watcher holds the highest revision that it has seen and never goes back to
// a lower one. It learns of revisions from the key-value service and from
// other VMs, and reads only the parts of a configuration that it does not hold
// yet. While neither can be reached it goes on with the revision it holds.
//
// Few VMs, the relays, wait at the key-value service for changes; Relays tells
// which. All VMs, the relays too, wait at one relay after another. So a change
// takes one hop to the relays and a second one to all others, a connection
// that has gone silent delays it by one waiting period, and the waiting watches
// grow with the square root of the number of VMs. A relay takes a revision from
// another one only if its own watch does not bring it within a second. A VM
// that reaches no relay watches the service itself.
//
// A VM that starts takes the highest revision of the service and of several
// VMs, so that it can start while the service is out of reach.
//
// # Usage
//
//	w := configwatch.Start(configwatch.Settings{Store: s, VM: vm, Peers: peers, Live: live})
//	defer w.Close()
//	if err := w.AwaitFirst(ctx); err != nil {
//		return err
//	}
//	app, customer, ok := w.Index().ApplicationByKey(hash)
//
// To act on each change, take the channel before the configuration:
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
	// Head waits until the peer holds a revision above the given one and
	// returns its manifest. After some seconds it returns a manifest that may
	// have nothing set but the revision, which is not above the given one. A
	// negative revision is not waited for.
	Head(ctx context.Context, peer ident.VM, above configuration.Revision) (manifest.Manifest, error)
	// Part returns the content of a part, or an error that wraps
	// manifest.ErrMissing.
	Part(ctx context.Context, peer ident.VM, digest manifest.Digest) ([]byte, error)
}

// Settings are the settings of a Watcher.
type Settings struct {
	VM    ident.VM
	Store store.Store
	// Peers may be nil, as for a single VM.
	Peers Peers
	// Live returns the live VMs of the fleet, with or without this one. It is
	// not called if Peers is nil.
	Live func() []ident.VM
	Log  hclog.Logger // nil logs nothing
	// Random spreads repeated attempts. nil stands for a seed that follows
	// from VM, so that VMs differ.
	Random *rand.Rand
	// Timeout bounds each call of a peer or the service, except for waiting;
	// 0 stands for 3 s.
	Timeout time.Duration
}

// Watcher keeps the configuration in force on a VM. Its methods are safe for
// concurrent use.
type Watcher struct {
	settings Settings
	tomb     tomb.Tomb
	current  atomic.Pointer[snapshot]
	// isolated reports that no peer was reached in the last round.
	isolated atomic.Bool
	// watching reports that a watch of the service is open.
	watching atomic.Bool

	randomMu sync.Mutex // guards settings.Random

	mu      sync.Mutex // guards installing and changed
	changed chan struct{}
}

// snapshot is a revision that is held whole. It is immutable.
type snapshot struct {
	head    manifest.Manifest
	source  ident.VM // empty for the key-value service
	base    manifest.Base
	buckets map[manifest.Digest]manifest.Bucket
	index   *configuration.Index
}

// Status is what a watcher holds and where it came from.
type Status struct {
	Revision configuration.Revision `json:"revision"`
	Source   ident.VM               `json:"source,omitempty"` // empty for the key-value service
	Watching bool                   `json:"watching"`         // whether the VM watches the key-value service
}

// Start returns a watcher that looks for a configuration.
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

// Status returns what the watcher holds and where it came from.
func (w *Watcher) Status() Status {
	s := w.current.Load()
	return Status{Revision: s.head.Revision, Source: s.source, Watching: w.watches()}
}

// Changed returns a channel that is closed when the next revision is in force.
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

// AwaitHead waits until a revision above the given one is in force and returns
// its manifest. If ctx ends or the watcher is closed before, it returns a
// manifest with the revision in force and nothing else, since peers wait again
// and again and a manifest may have tens of kilobytes.
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
// above the given one.
func (w *Watcher) headAbove(above configuration.Revision) manifest.Manifest {
	head := w.Head()
	if head.Revision <= above {
		return manifest.Manifest{Revision: head.Revision}
	}
	return head
}

// Part returns the content of a part of the revision in force, for a peer. It
// returns manifest.ErrMissing if the part is not held.
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
