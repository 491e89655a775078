// Package reclaim frees the shares of routers that can act no longer.
//
// Each router looks through the ledger pages that it owns for holders that are
// not registered. A holder that has been absent for the lifetime of shares and
// a grace for the bills that others may hold for it is reclaimed. The ledger
// refuses the bills of a holder that was reclaimed and comes back.
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

// callTimeout bounds the work on one page.
const callTimeout = 10 * time.Second

// Settings of a Reclaimer. All fields are required.
type Settings struct {
	Members Members
	Ledger  Ledger
	Self    ident.Incarnation
	// Lifetime returns how long a holder has to be absent: the lifetime of
	// shares, and the time that other routers have to push the bills that they
	// hold for it.
	Lifetime func() time.Duration
	Interval time.Duration // between two searches
	Clock    func() time.Time
	Log      hclog.Logger
}

// Members knows which holders are gone.
type Members interface {
	Owner(page int) (membership.Member, bool)
	Track(now time.Time, holders ...ident.Incarnation)
	Forget(holder ident.Incarnation)
	Gone(lifetime time.Duration) []ident.Incarnation
}

// Ledger reads pages and frees shares.
type Ledger interface {
	Pages() int
	Page(ctx context.Context, n int) (*ledger.Page, error)
	ApplyPage(ctx context.Context, n int, op ledger.Op) (ledger.Result, error)
}

// Reclaimer frees shares at an interval.
type Reclaimer struct {
	settings Settings
	tomb     tomb.Tomb
}

// New returns a reclaimer and starts its work.
func New(s Settings) *Reclaimer {
	r := &Reclaimer{settings: s}
	r.tomb.Go(r.loop)
	return r
}

// Close ends the work and waits.
func (r *Reclaimer) Close() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

func (r *Reclaimer) loop() error {
	ticker := time.NewTicker(r.settings.Interval)
	defer ticker.Stop()
	ctx := r.tomb.Context(context.Background())
	for {
		select {
		case <-ticker.C:
			r.Round(ctx)
		case <-r.tomb.Dying():
			return nil
		}
	}
}

// Round searches the owned pages once, and frees the shares on them of holders
// that are gone.
func (r *Reclaimer) Round(ctx context.Context) {
	gone := make(map[ident.Incarnation]bool)
	for _, holder := range r.settings.Members.Gone(r.settings.Lifetime()) {
		gone[holder] = true
	}
	found := make(map[ident.Incarnation]bool)
	for n := range r.settings.Ledger.Pages() {
		if r.owns(n) {
			r.search(ctx, n, gone, found)
		}
	}
	for holder := range gone {
		if !found[holder] {
			r.settings.Members.Forget(holder)
		}
	}
}

func (r *Reclaimer) owns(page int) bool {
	owner, ok := r.settings.Members.Owner(page)
	return ok && owner.Incarnation == r.settings.Self
}

// search looks through the holders on a page: it frees the shares of those that
// are gone, and begins to count the absence of the others.
func (r *Reclaimer) search(ctx context.Context, page int, gone, found map[ident.Incarnation]bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := r.settings.Ledger.Page(ctx, page)
	if err != nil {
		maps.Copy(found, gone) // the page is read again in the next round
		return
	}
	for holder := range holders(p) {
		if !gone[holder] {
			r.settings.Members.Track(r.settings.Clock(), holder)
			continue
		}
		found[holder] = true
		r.reclaim(ctx, page, holder)
	}
}

// holders returns the holders of all shares on a page.
func holders(p *ledger.Page) map[ident.Incarnation]bool {
	all := make(map[ident.Incarnation]bool)
	for _, b := range p.Budgets {
		for holder := range b.Shares {
			all[holder] = true
		}
	}
	return all
}

func (r *Reclaimer) reclaim(ctx context.Context, page int, holder ident.Incarnation) {
	op := ledger.Op{Reclaim: &ledger.Reclaim{Holder: holder}}
	if _, err := r.settings.Ledger.ApplyPage(ctx, page, op); err != nil {
		event.ReclaimFailed.Warn(r.settings.Log, "holder", holder, "page", page, "error", err)
		return
	}
	event.HolderReclaimed.Info(r.settings.Log, "holder", holder, "page", page)
}
