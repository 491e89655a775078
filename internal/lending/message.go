package lending

import (
	"errors"
	"fmt"

	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/tokens"
)

// Path is the prefix of the paths of messages. It is followed by a slash and the
// kind of the message.
const Path = "/peer/loans"

// Kinds of messages.
const (
	kindLoan      = "loan"
	kindSpare     = "spare"
	kindRepayment = "repayment"
)

// version is the version of the message format.
const version = 1

// maxTokens is the maximum number of tokens in a field of a message.
const maxTokens tokens.Count = 1 << 50

// message is the wire form of a loan.
type message struct {
	Version int `json:"version"`
	// ID is unique among all messages.
	ID string `json:"id"`
	wallet.Loan
}

// check validates a message of the given kind. Its error names the invalid field.
func (m message) check(kind string) error {
	switch {
	case m.Version != version:
		return fmt.Errorf("version: %d is not %d", m.Version, version)
	case m.ID == "":
		return errors.New("id: missing")
	case m.Budget == "":
		return errors.New("budget: missing")
	case m.Want <= 0 || m.Want > maxTokens:
		return fmt.Errorf("want: %d is not a number of tokens", m.Want)
	case kind == kindLoan && (m.Least <= 0 || m.Least > m.Want):
		return fmt.Errorf("least: %d is not between 1 and want", m.Least)
	case kind != kindSpare && (m.Funding.Customer == "" || m.Funding.Prepaid < 0 || m.Funding.Prepaid > maxTokens):
		return errors.New("funding: customer or prepaid is missing")
	}
	return nil
}

// response is the wire form of the response to a message.
type response struct {
	Lent tokens.Count `json:"lent"`
	// Remaining is the number of tokens that the lender can still spare.
	Remaining tokens.Count `json:"left,omitempty"`
	Refusal   refusal      `json:"refusal,omitempty"`
	// Outage reports that the ledger was unreachable for the lender when it refused, and
	// that it knew of no other holder with the tokens. Earlier releases neither send nor
	// read it.
	Outage bool `json:"outage,omitempty"`
}

// err returns the error of the wallet that corresponds to the refusal, or nil.
func (r response) err() error {
	if r.Refusal == refusedOutOfReach && r.Outage {
		return wallet.ErrLedgerUnreachable
	}
	return r.Refusal.err()
}

// validFor reports whether r is a valid response to a message with the given
// loan.
func (r response) validFor(loan wallet.Loan) bool {
	refused := r.Refusal != ""
	return r.Remaining >= 0 && r.Lent >= 0 && r.Lent <= loan.Want && (refused && r.Lent == 0 || !refused && r.Lent >= loan.Least)
}

// refusal is the reason why nothing was lent.
type refusal string

// Values of refusal.
const (
	refusedExhausted  refusal = "exhausted"
	refusedOutOfReach refusal = "outOfReach"
)

// refusalOf returns the refusal for an error of the wallet, or "" if err is nil.
// It is refusedOutOfReach for all errors other than wallet.ErrExhausted.
func refusalOf(err error) refusal {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, wallet.ErrExhausted):
		return refusedExhausted
	}
	return refusedOutOfReach
}

// err returns the error of the wallet that corresponds to the refusal.
func (r refusal) err() error {
	switch r {
	case "":
		return nil
	case refusedExhausted:
		return wallet.ErrExhausted
	}
	return wallet.ErrOutOfReach
}
