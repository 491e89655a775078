package edge

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/drain"
	"example.org/lagoonfork/internal/event"
)

// accepts reports whether a request is accepted that arrives now and may take until end.
func (r *Router) accepts(now, end time.Time) bool {
	plan := r.drain.Load()
	return plan == nil || plan.Accepts(now, end)
}

// cutTimeout returns the time for the responses to callers whose requests are cut off at the end of
// the drain. It is part of the time after the drain timeout, which may be short if that is.
func cutTimeout(drainTimeout time.Duration) time.Duration {
	return min(maxCutTimeout, drainTimeout/6)
}

// Close stops the router. From then on the router is not ready, and leaves the duties
// that it performs for other routers to the routers that rank next. It accepts requests
// during the drain delay, and finishes those in progress until the drain timeout passes
// or ctx ends. Meanwhile it accepts requests that end in time and refuses others, as the platform
// may send callers to a router that is not ready. Requests that remain at the end are answered with
// status 502 or, if they have not been sent to an upstream, 503. The time that this takes is not
// available for what follows, so that the stop ends in time.
func (r *Router) Close(ctx context.Context) (err error) {
	defer func() { err = merry.Prepend(err, "stopping the edge router") }()
	now := r.settings.Clock()
	r.drain.Store(&drain.Plan{AcceptUntil: now.Add(r.settings.DrainDelay), CutAt: now.Add(r.settings.DrainTimeout)})
	r.stopping.Store(true)
	for _, m := range r.mirrors() {
		m.StopRelay()
	}
	r.loadExchange.Retire()
	r.wallet.Retire()
	deregistered := make(chan error, 1)
	go func() { deregistered <- r.presence.Close() }()
	event.EdgeStopping.Info(r.settings.Log, "inFlight", r.intake.InFlight())
	stop, ended := context.WithTimeout(context.Background(), r.settings.DrainTimeout+closeTimeout)
	defer ended()
	ctx, cancel := context.WithTimeout(ctx, r.settings.DrainTimeout)
	defer cancel()
	select {
	case <-time.After(r.settings.DrainDelay):
	case <-ctx.Done():
	}
	if r.callers != nil {
		r.callers.Drain(ctx)
	}
	for _, e := range r.endpoints {
		err = errors.Join(err, e.Close(ctx))
	}
	remaining := r.intake.InFlight()
	r.tomb.Kill(nil)
	err = errors.Join(err, r.tomb.Wait())
	closing, done := context.WithTimeout(stop, closeTimeout)
	defer done()
	err = errors.Join(err, r.wallet.Close(closing), r.ledger.Close(closing), r.quarantine.Close(), r.crashNews.Close(), r.limitNews.Close(), r.loadExchange.Close(), <-deregistered)
	for _, m := range r.mirrors() {
		err = errors.Join(err, m.Close())
	}
	err = errors.Join(err, r.lending.Close())
	r.pool.Close()
	r.recovery.Close()
	r.pageOwner.Close()
	r.duties.Close()
	event.EdgeStopped.Info(r.settings.Log, "left", remaining)
	return err
}
