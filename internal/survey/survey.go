// Package survey asks upstreams for their load and cache events and the
// platform for its list of leaving VMs, and gives the answers to the routing
// tables.
//
// An upstream is out of the tables at the first sign that it leaves, from its
// own report, the platform's list or an operator. One that does not answer is
// paused by the table.
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
	// concurrency bounds the upstreams that are asked at the same time.
	concurrency = 32
	// callTimeout bounds one call of an upstream or of the platform's list.
	callTimeout = time.Second
)

// Settings of a Surveyor. VMs may be nil; all other fields are required.
type Settings struct {
	Directory *directory.Directory
	Engines   Engines
	VMs       VMs
	Interval  time.Duration // between two rounds
	Clock     func() time.Time
	Log       hclog.Logger
}

// Engines reads what upstreams report.
type Engines interface {
	Load(ctx context.Context, up configuration.Upstream) (engine.Load, error)
	CacheEvents(ctx context.Context, up configuration.Upstream, after uint64) ([]engine.CacheEvent, error)
}

// VMs reads the platform's list.
type VMs interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}

// Surveyor asks upstreams at an interval.
type Surveyor struct {
	settings Settings
	tomb     tomb.Tomb
}

// New returns a surveyor and starts its work.
func New(s Settings) *Surveyor {
	v := &Surveyor{settings: s}
	v.tomb.Go(v.loop)
	return v
}

// Close ends the work and waits.
func (v *Surveyor) Close() error {
	v.tomb.Kill(nil)
	return v.tomb.Wait()
}

func (v *Surveyor) loop() error {
	ticker := time.NewTicker(v.settings.Interval)
	defer ticker.Stop()
	ctx := v.tomb.Context(context.Background())
	for {
		v.Round(ctx)
		select {
		case <-ticker.C:
		case <-v.tomb.Dying():
			return nil
		}
	}
}

// Round asks every upstream and the platform once, and fits the gates to what
// is available.
func (v *Surveyor) Round(ctx context.Context) {
	v.readList(ctx)
	for _, s := range v.settings.Directory.All() {
		v.askAll(ctx, s)
	}
	v.settings.Directory.Resize(v.settings.Clock())
}

// readList marks the upstreams that run on leaving VMs.
func (v *Surveyor) readList(ctx context.Context) {
	if v.settings.VMs == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := v.settings.VMs.List(ctx)
	if err != nil {
		event.ListNotRead.Info(v.settings.Log, "error", err)
		return
	}
	for _, s := range v.settings.Directory.All() {
		v.matchList(s, vms)
	}
}

func (v *Surveyor) matchList(s *directory.Service, vms []vmlist.VM) {
	for _, up := range s.Table.Upstreams() {
		for _, vm := range vms {
			if vm.Address == up.Address {
				v.leave(s, up.ID, routing.SourceList, vm.State == vmlist.StateLeaving)
			}
		}
	}
}

func (v *Surveyor) leave(s *directory.Service, id ident.Upstream, source routing.Source, leaving bool) {
	if !s.Table.Leave(id, source, leaving) {
		return
	}
	e := event.UpstreamStaying
	if leaving {
		e = event.UpstreamLeaving
	}
	e.Info(v.settings.Log, "upstream", id, "source", source.String())
}

func (v *Surveyor) askAll(ctx context.Context, s *directory.Service) {
	var g errgroup.Group
	g.SetLimit(concurrency)
	for _, up := range s.Table.Upstreams() {
		g.Go(func() error {
			v.ask(ctx, s, up)
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
}

func (v *Surveyor) ask(ctx context.Context, s *directory.Service, up configuration.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := v.settings.Engines.Load(ctx, up)
	if err != nil {
		if ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded {
			event.LoadNotRead.Info(v.settings.Log, "upstream", up.ID, "error", err)
			s.Table.Fail(v.settings.Clock(), up.ID)
		}
		return
	}
	v.leave(s, up.ID, routing.SourceReport, load.Leaving)
	s.Table.Report(up.ID, report(load))
	if s.Configuration.Kind == configuration.KindEngine {
		v.askCache(ctx, s, up)
	}
}

func report(load engine.Load) routing.Report {
	models := make([]ident.Model, len(load.LoadedModels))
	for i, m := range load.LoadedModels {
		models[i] = m.Model
	}
	return routing.Report{
		Backlog: load.QueuedTokens + load.RunningTokens,
		AsOf:    load.AsOf,
		Models:  models,
		Leaving: load.Leaving,
	}
}

// askCache reads the cache events that follow the last one read.
func (v *Surveyor) askCache(ctx context.Context, s *directory.Service, up configuration.Upstream) {
	events, err := v.settings.Engines.CacheEvents(ctx, up, s.Table.CacheSequence(up.ID))
	if err != nil {
		s.Table.Forget(up.ID)
		return
	}
	for _, e := range events {
		s.Table.Cached(up.ID, routing.CacheEvent{
			Sequence: e.Sequence,
			Prefix:   routing.Prefix(e.Key),
			Evicted:  e.Kind == engine.CacheEvicted,
		})
	}
}
