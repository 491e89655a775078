package lending

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"goji.io/pat"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const (
	// maxMessageBytes is the maximum size of a message in bytes.
	maxMessageBytes = 4 << 10
	// maxMessageIDs is the number of recent message identifiers that are kept to
	// detect repeated messages.
	maxMessageIDs = 1 << 12
)

// Lender lends tokens from the shares of this router and accepts repayments. It
// is implemented by wallet.Wallet.
type Lender interface {
	Lend(ctx context.Context, now time.Time, loan wallet.Loan) (lent tokens.Count, err error)
	LendSpare(now time.Time, budget ident.Budget, want tokens.Count, u share.Urgency) (lent, remaining tokens.Count)
	AcceptRepayment(now time.Time, loan wallet.Loan) (ok bool)
}

// HandlerSettings are the settings of Handler. All fields are required.
type HandlerSettings struct {
	Lender Lender
	Clock  func() time.Time
	Log    hclog.Logger
}

// Handler returns a handler for the messages of other routers. It must be
// registered with a pattern that binds the variable kind. Its response has status
// 400 for a malformed message, 409 for one that was received before, 404 for one of
// an unknown kind, and 503 if the router is closing. In none of these cases are
// tokens moved.
func Handler(s HandlerSettings) http.Handler {
	h := &handler{HandlerSettings: s, ids: make(map[string]struct{})}
	return http.HandlerFunc(h.serve)
}

type handler struct {
	HandlerSettings

	mu   sync.Mutex
	ids  map[string]struct{}
	ring []string // the identifiers in ids; once it is full, the oldest is at next
	next int
}

func (h *handler) serve(w http.ResponseWriter, r *http.Request) {
	kind := pat.Param(r, "kind")
	var m message
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMessageBytes)).Decode(&m)
	if err == nil {
		err = m.check(kind)
	}
	if err != nil {
		h.reject(w, r, http.StatusBadRequest, err)
		return
	}
	if !h.recordID(m.ID) {
		h.reject(w, r, http.StatusConflict, errors.New("id: the message was said before"))
		return
	}
	var resp response
	switch kind {
	case kindLoan:
		resp.Lent, err = h.Lender.Lend(r.Context(), h.Clock(), m.Loan)
		resp.Refusal, resp.Outage = refusalOf(err), errors.Is(err, wallet.ErrLedgerUnreachable)
	case kindSpare:
		resp.Lent, resp.Remaining = h.Lender.LendSpare(h.Clock(), m.Budget, m.Want, m.Urgency)
	case kindRepayment:
		if !h.Lender.AcceptRepayment(h.Clock(), m.Loan) {
			err = wallet.ErrClosed
		}
	default:
		http.NotFound(w, r)
		return
	}
	if errors.Is(err, wallet.ErrClosed) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp) // if the response is lost, the loan is lost
}

// reject logs the reason for rejecting a message and sends it as the response.
func (h *handler) reject(w http.ResponseWriter, r *http.Request, status int, reason error) {
	event.LoanMessageRefused.Warn(h.Log, "path", r.URL.Path, "router", r.RemoteAddr, "reason", reason)
	http.Error(w, "loan message: "+reason.Error(), status)
}

// recordID records the identifier of a message, and reports whether it is new.
// It evicts the oldest identifier once maxMessageIDs are recorded.
func (h *handler) recordID(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.ids[id]; ok {
		return false
	}
	h.ids[id] = struct{}{}
	if len(h.ring) < maxMessageIDs {
		h.ring = append(h.ring, id)
		return true
	}
	delete(h.ids, h.ring[h.next])
	h.ring[h.next] = id
	h.next = (h.next + 1) % maxMessageIDs
	return true
}
