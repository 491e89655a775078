package keeper

import (
	"slices"
	"time"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/quarantine"
	"example.org/lagoonfork/pkg/ident"
)

// Verdict is the decision on an attempt to run a request.
type Verdict int

const (
	// Admitted means that the request may run.
	Admitted Verdict = iota
	// Busy means that another request with the same suspect digest is running. The request
	// may run once that one has ended or its answer has begun.
	Busy
	// Refused means that the request is quarantined.
	Refused
)

// Attempt is an attempt to run a request. Its methods are safe for concurrent use.
type Attempt struct {
	// Verdict is the decision. The attempt must be ended only if it is Admitted.
	Verdict Verdict
	// RetryAfter is the time until the quarantine of a request that was refused ends.
	RetryAfter time.Duration
	// Suspect reports that crashes are recorded for the content of the request, which
	// therefore runs apart from other suspects.
	Suspect bool

	keeper  *Keeper
	subject quarantine.Subject
	digests []quarantine.Digest // of the subject
	limit   int
	prior   []int // crashes of each digest that were known at the start; nil if none
	trials  []quarantine.Digest

	// The following fields are guarded by the keeper's mutex.
	began     bool   // whether an answer has begun
	revoked   bool   // whether the request was quarantined before
	onRevoked func() // nil if not set
}

// Begin decides whether the request may run under the crash limit. If the verdict is
// Admitted, the caller must call End.
func (k *Keeper) Begin(now time.Time, s quarantine.Subject, limit int) *Attempt {
	a := k.begin(now, s, limit)
	var trials []quarantine.Change
	for _, d := range a.trials {
		trials = append(trials, quarantine.Change{At: now, Digest: d, Trial: true})
	}
	if len(trials) > 0 && k.settings.Peers != nil {
		k.settings.Peers.Send(trials)
	}
	return a
}

func (k *Keeper) begin(now time.Time, s quarantine.Subject, limit int) *Attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &Attempt{keeper: k, subject: s, digests: s.Digests(), limit: limit}
	if len(k.list.Records) > 0 {
		a.examine(now)
	}
	if a.Verdict != Admitted {
		a.trials = nil
		return a
	}
	for _, d := range a.trials {
		k.trials[d] = time.Time{}
	}
	k.attempts[a] = struct{}{}
	return a
}

// examine sets the verdict and the state of each digest. The caller holds mu.
func (a *Attempt) examine(now time.Time) {
	k := a.keeper
	for i, d := range a.digests {
		if _, ok := k.list.Records[d]; !ok {
			continue
		}
		if a.prior == nil {
			a.prior = make([]int, len(a.digests))
		}
		a.prior[i] = k.list.Count(d)
		a.Suspect = a.Suspect || i == 0 && k.list.IsSuspect(now, d)
		if end := k.refusalEnd(d, a.subject.Customer, a.limit); end.After(now) {
			a.Verdict, a.RetryAfter = Refused, max(a.RetryAfter, end.Sub(now))
			continue
		}
		if k.list.OnTrial(now, d, a.subject.Customer, a.limit) {
			a.trials = append(a.trials, d)
			if k.inTrial(now, d) && a.Verdict == Admitted {
				a.Verdict = Busy
			}
		}
	}
}

// trialPeriod is how long a router waits for the result of a trial at another one. Most
// answers begin earlier.
const trialPeriod = time.Second

// inTrial reports whether a request with a digest on trial is running. The caller holds mu.
func (k *Keeper) inTrial(now time.Time, d quarantine.Digest) bool {
	end, ok := k.trials[d]
	return ok && (end.IsZero() || now.Before(end))
}

// holdTrial records that a request with a digest on trial has started to run at another
// router. The caller holds mu.
func (k *Keeper) holdTrial(now time.Time, d quarantine.Digest) {
	for other, end := range k.trials {
		if !end.IsZero() && !now.Before(end) {
			delete(k.trials, other)
		}
	}
	if end, ok := k.trials[d]; !ok || !end.IsZero() {
		k.trials[d] = now.Add(trialPeriod)
	}
}

// refusalEnd returns the time until which this router refuses requests of the customer
// with the digest. It adds a delay that differs between routers, so that after the end
// of a quarantine the first request that runs decides for all. The caller holds mu.
func (k *Keeper) refusalEnd(d quarantine.Digest, customer ident.Customer, limit int) time.Time {
	end := k.list.QuarantineEnd(d, customer, limit)
	if end.IsZero() {
		return end
	}
	return end.Add(k.settings.TrialDelay)
}

// OnRevoked has f called if the request is quarantined before its answer begins. The
// function must not block.
func (a *Attempt) OnRevoked(f func()) {
	a.keeper.mu.Lock()
	defer a.keeper.mu.Unlock()
	a.onRevoked = f
	if a.revoked {
		f()
	}
}

// End ends an attempt that was admitted.
func (a *Attempt) End() {
	k := a.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endTrials(a)
	delete(k.attempts, a)
}

// endTrials lets other requests with the suspect digests of an attempt run. The caller
// holds mu.
func (k *Keeper) endTrials(a *Attempt) {
	for _, d := range a.trials {
		delete(k.trials, d)
	}
	a.trials = nil
}

// Loss describes the loss of an upstream during an attempt.
type Loss struct {
	Upstream ident.Upstream
	// Ended reports that the upstream is known to have ended, rather than that the
	// connection to it was lost.
	Ended bool
	// AnswerBegan reports that the upstream had begun its response.
	AnswerBegan bool
}

// RecordLoss records the loss of the upstream during an attempt. It counts against the
// content of the request. Against the parts of its prompt it counts if the upstream has
// ended before the first piece of the answer had arrived.
func (a *Attempt) RecordLoss(now time.Time, l Loss) {
	k := a.keeper
	k.mu.Lock()
	delete(k.attempts, a) // its loss does not revoke it
	k.answers.advance(now)
	var changes []quarantine.Change
	for i, d := range a.digests {
		part := i > 0
		if part && (!l.Ended || a.began || k.answers.has(d)) {
			continue
		}
		c := quarantine.Change{At: now, Digest: d, Part: part, Upstream: l.Upstream, Customer: a.subject.Customer}
		if a.prior != nil {
			c.Prior = a.prior[i]
		}
		changes = append(changes, c)
	}
	changes = k.change(now, changes)
	var quarantined []quarantine.Change
	for _, c := range changes {
		if k.list.IsQuarantined(now, c.Digest, c.Customer, a.limit) {
			quarantined = append(quarantined, c)
		}
	}
	k.mu.Unlock()
	for _, c := range quarantined {
		event.DigestQuarantined.Warn(k.settings.Log, "digest", c.Digest, "part", c.Part, "customer", c.Customer)
	}
	for _, c := range changes {
		event.CrashRecorded.Info(k.settings.Log, "digest", c.Digest, "part", c.Part, "upstream", c.Upstream, "customer", c.Customer,
			"prior", c.Prior, "answerBegan", l.AnswerBegan, "ended", l.Ended)
	}
	k.publish(changes)
}

// RecordAnswer records that the first piece of an answer has arrived, which shows that
// the parts of the prompt do not crash upstreams.
func (a *Attempt) RecordAnswer(now time.Time) {
	k := a.keeper
	k.mu.Lock()
	if a.began {
		k.mu.Unlock()
		return
	}
	a.began = true
	k.endTrials(a)
	k.answers.advance(now)
	k.answers.add(a.subject.Parts...)
	changes := k.clear(now, a.subject.Parts)
	k.mu.Unlock()
	k.publishCleared(changes)
}

// RecordCompletion records that the request was answered completely, which shows that
// neither its content nor the parts of its prompt crash upstreams.
func (a *Attempt) RecordCompletion(now time.Time) {
	a.RecordAnswer(now)
	k := a.keeper
	k.mu.Lock()
	changes := k.clear(now, []quarantine.Digest{a.subject.Content})
	k.mu.Unlock()
	k.publishCleared(changes)
}

// Excuse clears crashes under parts, at the request of another router where an upstream had
// just begun to answer a request with them.
func (k *Keeper) Excuse(now time.Time, crashes []quarantine.CrashID) {
	k.mu.Lock()
	var changes []quarantine.Change
	for _, id := range crashes {
		changes = append(changes, id.Excuse(now))
	}
	changes = k.change(now, changes)
	k.mu.Unlock()
	k.publishCleared(changes)
}

// Clear removes digests from the list, at the request of an operator.
func (k *Keeper) Clear(now time.Time, digests ...quarantine.Digest) {
	k.mu.Lock()
	changes := k.clear(now, digests)
	k.mu.Unlock()
	k.publishCleared(changes)
}

// clear removes digests from the list and returns the changes. The caller holds mu.
func (k *Keeper) clear(now time.Time, digests []quarantine.Digest) []quarantine.Change {
	if len(k.list.Records) == 0 {
		return nil
	}
	var changes []quarantine.Change
	for _, d := range digests {
		changes = append(changes, quarantine.Change{At: now, Digest: d})
	}
	return k.change(now, changes)
}

// publishCleared logs and publishes the removal of digests.
func (k *Keeper) publishCleared(changes []quarantine.Change) {
	for _, c := range changes {
		event.CrashesCleared.Info(k.settings.Log, "digest", c.Digest, "upstream", c.Upstream)
	}
	k.publish(changes)
}

// revokeQuarantined revokes the attempts that wait for an answer to a request that has
// become quarantined. The caller holds mu.
func (k *Keeper) revokeQuarantined(now time.Time, changed []quarantine.Change) {
	for a := range k.attempts {
		if a.began || !slices.ContainsFunc(changed, func(c quarantine.Change) bool {
			return c.Upstream != "" && !c.Excused && slices.Contains(a.digests, c.Digest) &&
				k.list.IsQuarantined(now, c.Digest, a.subject.Customer, a.limit)
		}) {
			continue
		}
		a.revoked = true
		delete(k.attempts, a)
		if a.onRevoked != nil {
			a.onRevoked()
		}
	}
}
