package ledger

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// Op is an operation on a ledger page. Exactly one field besides Budget and
// Deferrable is set. Every op is idempotent: applying it again returns the first
// result and changes nothing, so that a writer that lost the response can retry.
type Op struct {
	Budget           ident.Budget      `json:"budget"`
	Draw             *Draw             `json:"draw,omitempty"`
	Return           *Return           `json:"return,omitempty"`
	Open             *Open             `json:"open,omitempty"`
	Settle           *Settle           `json:"settle,omitempty"`
	Release          *Release          `json:"release,omitempty"`
	TakeOver         *TakeOver         `json:"takeOver,omitempty"`
	TopUp            *TopUp            `json:"topUp,omitempty"`
	Reclaim          *Reclaim          `json:"reclaim,omitempty"`
	FreePredecessors *FreePredecessors `json:"succeed,omitempty"`
	Restate          *Restate          `json:"restate,omitempty"`
	// Deferrable reports that no request waits for the op, so that its write may
	// be delayed and batched with other ops.
	Deferrable bool `json:"deferrable,omitempty"`
}

// Request returns the request whose claim the op reads or changes, or an empty
// identifier if the op has no claim.
func (o Op) Request() ident.Request {
	switch {
	case o.Open != nil:
		return o.Open.Claim.Request
	case o.Settle != nil:
		return o.Settle.Claim.Request
	case o.Release != nil:
		return o.Release.Request
	case o.TakeOver != nil:
		return o.TakeOver.Request
	}
	return ""
}

// AsRetry returns the op to send as a retry while an earlier copy of it may still
// be applied. A draw is marked as Repeated; other ops are unchanged.
func (o Op) AsRetry() Op {
	if o.Draw == nil || o.Draw.Repeated {
		return o
	}
	d := *o.Draw
	d.Repeated = true
	o.Draw = &d
	return o
}

// holder returns the holder of a draw or return, or an empty identifier for
// other ops.
func (o Op) holder() ident.Incarnation {
	switch {
	case o.Draw != nil:
		return o.Draw.Holder
	case o.Return != nil:
		return o.Return.Holder
	}
	return ""
}

// restatement returns what the holder of a draw or return knew of its share before it.
func (o Op) restatement() (r Restate, ok bool) {
	switch {
	case o.Draw != nil && o.Draw.Known != nil:
		return Restate{Holder: o.Draw.Holder, Known: *o.Draw.Known, Spent: o.Draw.Spent, Limit: o.Draw.Limit}, true
	case o.Return != nil && o.Return.Known != nil:
		return Restate{Holder: o.Return.Holder, Known: *o.Return.Known, Spent: o.Return.Spent, Limit: o.Return.Limit}, true
	case o.Restate != nil:
		return *o.Restate, true
	}
	return Restate{}, false
}

// Spent returns the cumulative tokens that a draw or return reports as spent
// without claims, or 0 for other ops.
func (o Op) Spent() tokens.Count {
	switch {
	case o.Draw != nil:
		return o.Draw.Spent
	case o.Return != nil:
		return o.Return.Spent
	}
	return 0
}

// Draw moves tokens from the free part of a budget to the holder's share. It
// grants Want, or as many as are free and MaxHeldFraction allows if these are fewer
// but at least Least, or nothing.
//
// A holder numbers its draws and returns of one budget by Sequence, starting
// from 1, and sends one at a time. If the page has already recorded a sequence
// number, the result is the recorded one. A number is never reused for another
// op, even after a refusal.
type Draw struct {
	Holder   ident.Incarnation `json:"holder"`
	Sequence uint64            `json:"sequence"`
	Want     tokens.Count      `json:"want"`
	Least    tokens.Count      `json:"least"`
	// Funding creates the budget on its first draw. A higher revision raises or
	// lowers the prepaid tokens of an existing budget.
	Funding Funding `json:"funding"`
	// Spent is the total number of tokens that the holder has spent without
	// claims from all of its shares of the budget. Before it grants tokens, the
	// page moves the increase over Share.Spent from the share to Budget.Settled.
	Spent tokens.Count `json:"spent,omitempty"`
	// Limit is the holder's spending limit from now on, nil if it has none.
	Limit *SpendLimit `json:"limit,omitempty"`
	// Needed is the number of tokens that requests wait for. MaxHeldFraction does not bound it.
	Needed tokens.Count `json:"needed,omitempty"`
	// MaxHeldFraction bounds what the draw grants beyond Least and Needed: all shares that have not
	// ended together stay within this fraction of the tokens that are left. 0 means no
	// bound, as in the draws of earlier releases.
	MaxHeldFraction float64 `json:"maxHeld,omitempty"`
	// Repeated reports that an earlier copy of the draw may still be in flight.
	// A refusal is then recorded, so that the copy cannot be granted later. Other
	// refusals do not record their sequence number.
	Repeated bool `json:"repeated,omitempty"`
	// Known is what the holder knew of its share before the draw. It is nil for the first
	// one.
	Known *Standing `json:"known,omitempty"`
}

// Funding is the configured funding of a budget. A page keeps the funding with
// the highest revision. If it is lower than the tokens already settled and
// granted to shares, the difference is held as Budget.Excess.
type Funding struct {
	Customer ident.Customer `json:"customer"`
	Prepaid  tokens.Count   `json:"prepaid"`
	Revision int64          `json:"revision"`
}

// Return gives unreserved tokens of the holder's share back to the budget. Spent,
// Limit and Known are as in Draw; a Return may report them without returning tokens.
type Return struct {
	Holder   ident.Incarnation `json:"holder"`
	Sequence uint64            `json:"sequence"`
	Tokens   tokens.Count      `json:"tokens"`
	Spent    tokens.Count      `json:"spent,omitempty"`
	Limit    *SpendLimit       `json:"limit,omitempty"`
	Known    *Standing         `json:"known,omitempty"`
}

// Open records a claim before or during the dispatch of its request and
// reserves its maximum cost from the holder's share. An existing claim is not
// changed; the result contains it.
type Open struct {
	Claim Claim `json:"claim"`
}

// Settle bills a request exactly once. It settles the holder's open claim, or
// records a settled claim if none was opened. A settled request is not billed
// again. If another holder has an open claim for the request, that holder has
// to settle it, unless the request is idempotent and its answer has been
// delivered: then it is billed immediately, and a Settle or Release by the other
// holder returns Existing.
//
// A holder that opened a claim and receives Existing for it no longer has the
// tokens reserved for it, as after a TakeOver.
type Settle struct {
	Claim Claim `json:"claim"` // with Cost, at most Reserved
	// Delivered reports that the end of the answer was sent to the caller before
	// the bill was in the ledger, because other routers stored a copy of the
	// bill. Such a bill is charged to the free tokens of the budget if the
	// holder's share does not cover it.
	Delivered bool `json:"delivered,omitempty"`
}

// Release ends the holder's open claim without billing it. Uncertain keeps the
// claim in state StateUncertain, so that a non-idempotent request that may
// have run is not run again.
type Release struct {
	Request   ident.Request     `json:"request"`
	Holder    ident.Incarnation `json:"holder"`
	Attempt   ident.Attempt     `json:"attempt"`
	Uncertain bool              `json:"uncertain,omitempty"`
}

// TakeOver transfers the open claim of an idempotent request, and the tokens
// reserved for it, to another holder.
type TakeOver struct {
	Request ident.Request     `json:"request"`
	From    ident.Incarnation `json:"from"`
	To      ident.Incarnation `json:"to"`
	Attempt ident.Attempt     `json:"attempt"`
}

// TopUp adds tokens to a budget. Repeating an ID adds nothing.
type TopUp struct {
	ID     ident.TopUp  `json:"id"`
	Tokens tokens.Count `json:"tokens"`
}

// Reclaim frees the share of a holder that is no longer active, in one budget
// or, if Op.Budget is empty, in all budgets of the page. Open claims of
// idempotent requests are removed; those of other requests become uncertain.
type Reclaim struct {
	Holder ident.Incarnation `json:"holder"`
}

// Outcome is the outcome of an op.
type Outcome string

// Outcomes of ops.
const (
	// Applied reports that the op took effect, now or when it was first applied.
	Applied Outcome = "applied"
	// Existing reports that the op left an existing claim unchanged, because the
	// claim has another holder or attempt or is not in the required state.
	// Result.Claim is the existing claim.
	Existing Outcome = "existing"
	// Exhausted reports that a budget has fewer free tokens than Draw.Least.
	Exhausted Outcome = "exhausted"
	// ShareGone reports that the holder's share is missing or too small for
	// the op, as after a Reclaim.
	ShareGone Outcome = "shareGone"
	// WrittenOff reports a delivered bill that the free tokens do not cover. It
	// is recorded but not charged.
	WrittenOff Outcome = "writtenOff"
	// NotFound reports that the claim or budget of the op does not exist.
	NotFound Outcome = "notFound"
	// Expired reports that the page has no claim for the request, and that the
	// request is so old that its claim may have been pruned. Nothing is changed,
	// since the request may already have been billed.
	Expired Outcome = "expired"
	// Invalid reports an op that is malformed or contradicts the page: a draw or
	// return with an outdated sequence number, a top-up that reuses an ID with
	// another number of tokens or exceeds the largest count, or a cost above the
	// reserved tokens.
	Invalid Outcome = "invalid"
)

// Result is the outcome of one op.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Granted is the number of tokens that a draw added to the share, or a
	// return took from it.
	Granted tokens.Count `json:"granted,omitempty"`
	// Free is the number of tokens that the budget can still grant after the op.
	Free tokens.Count `json:"free,omitempty"`
	// Settled is the number of tokens billed to the budget. Holders derive the
	// spending rate of the whole fleet from it.
	Settled tokens.Count `json:"settled,omitempty"`
	// SharedByOthers is the number of tokens in the shares of other holders,
	// without ended shares, after a draw or return.
	SharedByOthers tokens.Count `json:"others,omitempty"`
	// RefusalRecorded reports that the result repeats the recorded refusal of an
	// earlier copy of the draw. Free and Settled are current.
	RefusalRecorded bool `json:"recorded,omitempty"`
	// Era is the era of the page, or 0 if it is not known.
	Era store.Era `json:"era,omitempty"`
	// Claim is the claim of the op's request after the op, if there is one.
	Claim *Claim `json:"claim,omitempty"`
	// Holders lists the other shares of the budget after an exhausted draw.
	Holders []Holding `json:"holders,omitempty"`
}

// Holding describes the share of one holder.
type Holding struct {
	Holder   ident.Incarnation `json:"holder"`
	Granted  tokens.Count      `json:"granted"`
	Reserved tokens.Count      `json:"reserved"`
}

// State is the state of a claim.
type State string

// States of claims.
const (
	StateOpen      State = "open"
	StateSettled   State = "settled"
	StateUncertain State = "uncertain"
	// StateWrittenOff is the state of a delivered request whose bill the free
	// tokens did not cover.
	StateWrittenOff State = "writtenOff"
)

// Claim records the reservation and the bill of one request. There is one claim
// for each budget and request identifier.
type Claim struct {
	Request     ident.Request     `json:"request"`
	Customer    ident.Customer    `json:"customer,omitempty"`
	Application ident.Application `json:"application,omitempty"`
	Holder      ident.Incarnation `json:"holder"`
	Attempt     ident.Attempt     `json:"attempt"`
	Digest      string            `json:"digest,omitempty"` // of the request body, for keyed requests
	Idempotent  bool              `json:"idempotent,omitempty"`
	Keyed       bool              `json:"keyed,omitempty"`     // the caller supplied the identifier as an idempotency key
	Delivered   bool              `json:"delivered,omitempty"` // delivered before the bill was in the ledger; see Settle
	State       State             `json:"state"`
	Reserved    tokens.Count      `json:"reserved,omitempty"`
	Cost        tokens.Count      `json:"cost,omitempty"`
	Upstream    ident.Upstream    `json:"upstream,omitempty"`
	Opened      time.Time         `json:"opened,omitzero"`
	Ended       time.Time         `json:"ended,omitzero"`
}
