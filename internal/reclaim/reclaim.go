// Package reclaim frees the shares of routers that are no longer active.
//
// Each router scans the ledger pages that it owns for holders that are not
// registered. A holder is reclaimed when it has been absent for the lifetime of
// shares plus a grace period, in which other routers can push the bills that
// they hold for it. If a reclaimed holder comes back, the ledger refuses its
// bills.
//
// # Usage
//
//	r := reclaim.New(reclaim.Settings{Members: follower, Ledger: committer, ...})
//	defer r.Close()
package reclaim

import (
	"context"
	"maps"
	"time"

	"github.com/hashicorp/go-hclog"
	"gopkg.in/tomb.v2"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
)

// pageTimeout limits the time spent on one page in a scan.
const pageTimeout = 10 * time.Second

// Settings configures a Reclaimer. All fields are required.
type Settings struct {
	Members Members
	Ledger  Ledger
	Self    ident.Incarnation
	// Lifetime returns how long a holder must have been absent to be reclaimed:
	// the lifetime of shares plus the time that other routers have to push the
	// bills that they hold for it.
	Lifetime func() time.Duration
	Interval time.Duration // between two scans
	Clock    func() time.Time
	Log      hclog.Logger
}

// Members tracks which holders are absent, and which router owns a page. GoneHolders
// returns the holders that were continuously absent for lifetime, TrackAbsence starts
// the tracking of holders that are not registered, and StopTracking ends it.
type Members interface {
	Owner(page int) (membership.Member, bool)
	TrackAbsence(now time.Time, holders ...ident.Incarnation)
	StopTracking(holder ident.Incarnation)
	GoneHolders(lifetime time.Duration) []ident.Incarnation
}

// Ledger reads pages and frees shares.
type Ledger interface {
	Pages() int
	Page(ctx context.Context, n int) (*ledger.Page, error)
	ApplyPage(ctx context.Context, n int, op ledger.Op) (ledger.Result, error)
}

// Reclaimer periodically frees the shares of absent holders.
type Reclaimer struct {
	settings Settings
	tomb     tomb.Tomb
}

// New returns a Reclaimer and starts its goroutine.
func New(s Settings) *Reclaimer {
	r := &Reclaimer{settings: s}
	r.tomb.Go(r.run)
	return r
}

// Close stops the Reclaimer and waits for its goroutine to exit.
func (r *Reclaimer) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *Reclaimer) run() error {
	ticker := time.NewTicker(r.settings.Interval)
	defer ticker.Stop()
	ctx := r.tomb.Context(context.Background())
	for {
		select {
		case <-ticker.C:
			r.Scan(ctx)
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// Scan scans the owned pages once and frees the shares of holders that are
// gone. A gone holder without shares on these pages is no longer tracked.
func (r *Reclaimer) Scan(ctx context.Context) {
	gone := make(map[ident.Incarnation]bool)
	for _, holder := range r.settings.Members.GoneHolders(r.settings.Lifetime()) {
		gone[holder] = true
	}
	present := make(map[ident.Incarnation]bool)
	for n := range r.settings.Ledger.Pages() {
		if r.ownsPage(n) {
			r.scanPage(ctx, n, gone, present)
		}
	}
	for holder := range gone {
		if !present[holder] {
			r.settings.Members.StopTracking(holder)
		}
	}
}

func (r *Reclaimer) ownsPage(page int) bool {
	owner, ok := r.settings.Members.Owner(page)
	return ok && owner.Incarnation == r.settings.Self
}

// scanPage frees the shares on a page of holders that are gone, which it adds to
// present, and starts to track the absence of the other holders.
func (r *Reclaimer) scanPage(ctx context.Context, page int, gone, present map[ident.Incarnation]bool) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	p, err := r.settings.Ledger.Page(ctx, page)
	if err != nil {
		maps.Copy(present, gone) // keeps them tracked until a later scan can read the page
		return
	}
	for holder := range holders(p) {
		if !gone[holder] {
			r.settings.Members.TrackAbsence(r.settings.Clock(), holder)
			continue
		}
		present[holder] = true
		r.reclaim(ctx, page, holder)
	}
}

// holders returns the set of holders that have a share on a page.
func holders(p *ledger.Page) map[ident.Incarnation]bool {
	set := make(map[ident.Incarnation]bool)
	for _, b := range p.Budgets {
		for holder := range b.Shares {
			set[holder] = true
		}
	}
	return set
}

func (r *Reclaimer) reclaim(ctx context.Context, page int, holder ident.Incarnation) {
	op := ledger.Op{Reclaim: &ledger.Reclaim{Holder: holder}}
	if _, err := r.settings.Ledger.ApplyPage(ctx, page, op); err != nil {
		event.ReclaimFailed.Warn(r.settings.Log, "holder", holder, "page", page, "error", err)
		return
	}
	event.HolderReclaimed.Info(r.settings.Log, "holder", holder, "page", page)
}
