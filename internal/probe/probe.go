// Package probe periodically checks whether a random sample of the other routers
// responds, and reports the results to the membership.
//
// # Usage
//
//	p := probe.New(probe.Settings{Members: follower, Peers: client, ...})
//	defer p.Close()
package probe

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/peerclient"
	"example.org/lagoonfork/pkg/ident"
)

// peersPerRound is the number of peers probed in one round.
const peersPerRound = 3

// Settings configures a Prober. All fields are required.
type Settings struct {
	Members  Members
	Peers    Peers
	Interval time.Duration // between two rounds
	Clock    func() time.Time
}

// Members lists the other routers and records the probe results.
type Members interface {
	Peers(now time.Time) []membership.Member
	RecordProbe(now time.Time, vm ident.VM, answered bool)
}

// Peers requests the status of a router.
type Peers interface {
	Status(ctx context.Context, address netip.AddrPort) (peerclient.Status, error)
}

// Prober probes other routers at an interval.
type Prober struct {
	settings Settings
	rng      *rand.Rand
	tomb     tomb.Tomb
}

// New returns a prober and starts its goroutine.
func New(s Settings) *Prober {
	p := &Prober{settings: s, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	p.tomb.Go(p.run)
	return p
}

// Close stops the prober and waits for its goroutine to end.
func (p *Prober) Close() error {
	p.tomb.Kill(nil)
	return p.tomb.Wait()
}

func (p *Prober) run() error {
	ticker := time.NewTicker(p.settings.Interval)
	defer ticker.Stop()
	ctx := p.tomb.Context(context.Background())
	for {
		select {
		case <-ticker.C:
			p.probeRound(ctx)
		case <-p.tomb.Dying():
			return nil
		}
	}
}

func (p *Prober) probeRound(ctx context.Context) {
	var g errgroup.Group
	for _, m := range p.sampleMembers() {
		g.Go(func() error {
			p.probe(ctx, m)
			return nil
		})
	}
	_ = g.Wait() // the goroutines return no errors
}

func (p *Prober) probe(ctx context.Context, m membership.Member) {
	_, err := p.settings.Peers.Status(ctx, m.Address)
	if ctx.Err() == nil {
		p.settings.Members.RecordProbe(p.settings.Clock(), m.VM, err == nil)
	}
}

// sampleMembers returns a random sample of the peers.
func (p *Prober) sampleMembers() []membership.Member {
	peers := p.settings.Members.Peers(p.settings.Clock())
	p.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(peersPerRound, len(peers))]
}
