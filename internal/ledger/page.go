// Package ledger defines the pages of the ledger, which record for each budget
// the prepaid tokens, the tokens granted to the shares of routers, and the
// billed tokens.
//
// A page contains the budgets whose identifier hashes to it, with their claims,
// so that one compare-and-swap changes a budget and a claim atomically. Applying
// an op is deterministic: the result depends only on the page, the op and the
// given time. Package ledger/committer writes pages to the key-value service.
//
// After each op every budget satisfies
//
//	Settled + sum of Shares[].Granted <= Prepaid
//
// where Prepaid is Funding.Prepaid plus all TopUps. An operator may lower the
// funding below the tokens settled and granted. The difference is then recorded
// as Excess, which is added to the right side. Returned tokens and top-ups reduce
// Excess before any tokens become free.
//
// # Usage
//
//	var p ledger.Page
//	result := p.Apply(op, now)
package ledger

import (
	"strconv"
	"strings"
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/pkg/tokens"
)

// Page is one page of the ledger. The zero value is an empty page.
type Page struct {
	Budgets map[ident.Budget]*Budget `json:"budgets"`
	// Writes identifies the last maxWriteIDs writes in chronological order, so
	// that a writer that lost the response can tell whether its write succeeded.
	Writes []WriteID `json:"writes,omitempty"`
	// Written is the time of the last write, and PruneNotBefore the time before
	// which no claim is pruned; see RecordWrite.
	Written        time.Time `json:"written,omitzero"`
	PruneNotBefore time.Time `json:"hold,omitzero"`
	// Segments lists the segments with ended claims of the page in the order in
	// which they were added.
	Segments []SegmentRef `json:"sealed,omitempty"`

	changes     uint64
	era         store.Era // see Era
	eraKnown    bool
	pendingBase int64 // base revision plus one of the last EncodeWrite, or 0
}

// WriteID identifies one write of a page. It is unique even among writes of the
// same content over the same revision, because the results that a writer has
// computed are only valid for its own write. It also holds the era of the key-value
// service in which the page was written.
type WriteID string

// NewWriteID returns the identifier of a write in an era, given a random number.
func NewWriteID(era store.Era, random uint64) WriteID {
	return WriteID(strconv.FormatInt(int64(era), 10) + "." + strconv.FormatUint(random, 36))
}

// era returns the era of the write. It returns false if the identifier has none, as those of
// earlier releases.
func (id WriteID) era() (era store.Era, ok bool) {
	text, _, found := strings.Cut(string(id), ".")
	n, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil || n < 0 {
		return 0, false
	}
	return store.Era(n), true
}

// Budget records the funding, shares and claims of one prepaid budget.
type Budget struct {
	Funding Funding                      `json:"funding"`
	TopUps  map[ident.TopUp]tokens.Count `json:"topUps,omitempty"`
	Settled tokens.Count                 `json:"settled"`
	Shares  map[ident.Incarnation]*Share `json:"shares,omitempty"`
	Claims  map[ident.Request]*Claim     `json:"claims,omitempty"`
	// WrittenOff is the cost of delivered requests that was not charged.
	WrittenOff tokens.Count `json:"writtenOff,omitempty"`
	// Excess is the number of tokens that were settled and granted beyond the
	// prepaid tokens when a funding took effect, less what has been returned or
	// topped up since. Only a lower funding and the restatement of a share raise
	// it, and no tokens are free while it is positive.
	Excess tokens.Count `json:"excess,omitempty"`
	// PrunedUntil is the latest end time of the claims that were pruned or whose
	// segment was removed.
	PrunedUntil time.Time `json:"pruned,omitzero"`

	changed bool   // since the last recordChanges
	encoded []byte // cached encoding, nil after a change
}

// Share is the part of a budget that one holder may spend.
type Share struct {
	// Granted is the number of tokens granted to the holder and not yet settled
	// or returned.
	Granted tokens.Count `json:"granted"`
	// Reserved is the part of Granted that is reserved for open claims.
	Reserved tokens.Count `json:"reserved"`
	// Sequence and Moved are the sequence number of the last recorded draw or
	// return, and the number of tokens that it moved.
	Sequence uint64       `json:"sequence"`
	Moved    tokens.Count `json:"moved"`
	// Spent is the part of the holder's reported spending without claims that
	// has been settled.
	Spent tokens.Count `json:"spent,omitempty"`
	// Limit is the holder's current spending limit, nil if it has none.
	Limit *SpendLimit `json:"limit,omitempty"`
	// Ended reports that another process has replaced the holder on its VM. The
	// tokens left in the share may have been spent.
	Ended bool `json:"ended,omitempty"`
}
