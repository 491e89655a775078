// Package drain decides which requests a router accepts while it stops.
//
// For a time after the stop has begun callers still arrive, because the platform has not
// noticed it yet. Requests are accepted then. A request that comes later, on a connection that is
// open, is accepted only if it ends before the remaining ones are cut off. A caller whose request
// was refused sends it to another router.
//
// # Usage
//
//	plan := drain.Plan{AcceptUntil: now.Add(delay), CutAt: now.Add(timeout)}
//	if !plan.Accepts(now, request.Expires()) {
//		// refuse it as not run
//	}
package drain

import "time"

// Plan is the plan of a stop. The zero value stands for none, and accepts all requests.
type Plan struct {
	// AcceptUntil is the time until which all requests are accepted.
	AcceptUntil time.Time
	// CutAt is the time at which the remaining requests are cut off.
	CutAt time.Time
}

// Accepts reports whether a request is accepted that arrives now and may take until end.
func (p Plan) Accepts(now, end time.Time) bool {
	return p.CutAt.IsZero() || now.Before(p.AcceptUntil) || !end.After(p.CutAt)
}
