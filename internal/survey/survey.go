// Package survey polls upstreams for their load and cache events, and the platform for
// its list of VMs, and updates the routing tables with the results.
//
// A table stops selecting an upstream as soon as the upstream's own report, the
// platform's list or an operator marks it as leaving. It pauses an upstream that does
// not respond.
//
// # Usage
//
//	s := survey.New(survey.Settings{Directory: d, Engines: client, VMs: vms, ...})
//	defer s.Close()
package survey

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/directory"
	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/routing"
	"example.org/lagoonfork/internal/vmlist"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// maxConcurrentPolls is the maximum number of upstreams polled concurrently.
	maxConcurrentPolls = 32
	// callTimeout bounds the poll of one upstream or of the platform's list.
	callTimeout = time.Second
)

// Settings configures a Surveyor. VMs may be nil; all other fields are required.
type Settings struct {
	Directory *directory.Directory
	Engines   Engines
	VMs       VMs
	Interval  time.Duration // between two polls
	Clock     func() time.Time
	Log       hclog.Logger
}

// Engines reads the reports of upstreams.
type Engines interface {
	Load(ctx context.Context, up configuration.Upstream) (engine.Load, error)
	CacheEvents(ctx context.Context, up configuration.Upstream, after uint64) ([]engine.CacheEvent, error)
}

// VMs reads the platform's list of VMs.
type VMs interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Surveyor polls upstreams at an interval.
type Surveyor struct {
	settings Settings
	tomb     tomb.Tomb
}

// New returns a surveyor and starts its goroutine.
func New(s Settings) *Surveyor {
	v := &Surveyor{settings: s}
	v.tomb.Go(v.run)
	return v
}

// Close stops the surveyor and waits for its goroutine to end.
func (v *Surveyor) Close() error {
	v.tomb.Kill(nil)
	return v.tomb.Wait()
}

func (v *Surveyor) run() error {
	ticker := time.NewTicker(v.settings.Interval)
	defer ticker.Stop()
	ctx := v.tomb.Context(context.Background())
	for {
		v.Poll(ctx)
		select {
		case <-ticker.C:
		case <-v.tomb.Dying():
			return nil
		}
	}
}

// Poll polls the platform and every upstream once, and resizes the admission gates to
// the available upstreams.
func (v *Surveyor) Poll(ctx context.Context) {
	v.pollVMs(ctx)
	for _, s := range v.settings.Directory.All() {
		v.pollUpstreams(ctx, s)
	}
	v.settings.Directory.Resize(v.settings.Clock())
}

// pollVMs updates the leaving state of upstreams from the platform's list of VMs.
func (v *Surveyor) pollVMs(ctx context.Context) {
	if v.settings.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := v.settings.VMs.List(ctx)
	if err != nil {
		event.VMListNotRead.Info(v.settings.Log, "error", err)
		return
	}
	for _, s := range v.settings.Directory.All() {
		v.applyVMStates(s, vms)
	}
}

func (v *Surveyor) applyVMStates(s *directory.Service, vms []vmlist.VM) {
	for _, up := range s.Table.Upstreams() {
		for _, vm := range vms {
			if vm.Address == up.Address {
				v.setLeaving(s, up.ID, routing.SourceList, vm.State == vmlist.StateLeaving)
			}
		}
	}
}

func (v *Surveyor) setLeaving(s *directory.Service, id ident.Upstream, source routing.LeavingSource, leaving bool) {
	if !s.Table.SetLeaving(id, source, leaving) {
		return
	}
	e := event.UpstreamNotLeaving
	if leaving {
		e = event.UpstreamLeaving
	}
	e.Info(v.settings.Log, "upstream", id, "source", source.String())
}

func (v *Surveyor) pollUpstreams(ctx context.Context, s *directory.Service) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, up := range s.Table.Upstreams() {
		g.Go(func() error {
			v.pollUpstream(ctx, s, up)
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
}

func (v *Surveyor) pollUpstream(ctx context.Context, s *directory.Service, up configuration.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := v.settings.Engines.Load(ctx, up)
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			event.LoadNotRead.Info(v.settings.Log, "upstream", up.ID, "error", err)
			s.Table.RecordFailure(v.settings.Clock(), up.ID)
		}
		return
	}
	v.setLeaving(s, up.ID, routing.SourceReport, load.Leaving)
	s.Table.ApplyReport(up.ID, newReport(load))
	if s.Configuration.Kind == configuration.KindEngine {
		v.pollCacheEvents(ctx, s, up)
	}
}

func newReport(load engine.Load) routing.LoadReport {
	models := make([]ident.Model, len(load.LoadedModels))
	for i, m := range load.LoadedModels {
		models[i] = m.Model
	}
	return routing.LoadReport{
		Backlog: load.QueuedTokens + load.RunningTokens,
		AsOf:    load.AsOf,
		Models:  models,
		Leaving: load.Leaving,
	}
}

// pollCacheEvents reads the cache events after the last one read. On an error it
// discards the cached prefixes recorded for the upstream.
func (v *Surveyor) pollCacheEvents(ctx context.Context, s *directory.Service, up configuration.Upstream) {
	events, err := v.settings.Engines.CacheEvents(ctx, up, s.Table.CacheSequence(up.ID))
	if err != nil {
		s.Table.InvalidateCache(up.ID)
		return
	}
	for _, e := range events {
		s.Table.ApplyCacheEvent(up.ID, routing.CacheEvent{
			Sequence: e.Sequence,
			Prefix:   routing.Prefix(e.Key),
			Evicted:  e.Kind == engine.CacheEvicted,
		})
	}
}
