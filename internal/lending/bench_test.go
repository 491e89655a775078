package lending

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"goji.io"
	"goji.io/pat"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/internal/share"
	"example.org/lagoonfork/internal/wallet"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// unlimitedLedger is a ledger that grants every draw.
type unlimitedLedger struct{}

func (unlimitedLedger) Apply(_ context.Context, op ledger.Op) (ledger.Result, error) {
	r := ledger.Result{Outcome: ledger.Applied, Free: 1 << 49}
	if op.Draw != nil {
		r.Granted = op.Draw.Want
	}
	return r, nil
}

// noPeers recalls no tokens.
type noPeers struct{}

func (noPeers) Recall(context.Context, ident.Incarnation, ident.Budget, tokens.Count) (tokens.Count, error) {
	return 0, nil
}

// newHolder returns a wallet that holds tokens of 690 budgets, and the budgets.
func newHolder(b *testing.B) (w *wallet.Wallet, budgets []ident.Budget) {
	w = wallet.New(wallet.Settings{
		Holder: "h", Ledger: unlimitedLedger{}, Peers: noPeers{}, Live: func() int { return 14 }, Clock: time.Now,
		Shares: func() share.Policy {
			return share.Policy{Horizon: 9 * time.Second, ReserveRequests: 1 << 20, FreeFraction: 0.9, RefillLevel: 0.85, IdleLimit: time.Hour}
		},
	})
	b.Cleanup(func() { require.NoError(b, w.Close(context.Background())) })
	for i := range 690 {
		budgets = append(budgets, ident.Budget(fmt.Sprint("budget-", i)))
		_, err := w.Lend(context.Background(), time.Now(), benchLoan(budgets[i]))
		require.NoError(b, err)
	}
	return w, budgets
}

func benchLoan(budget ident.Budget) wallet.Loan {
	return wallet.Loan{Budget: budget, Funding: ledger.Funding{Customer: "c", Prepaid: 1 << 49, Revision: 1}, Want: 1700, Least: 1700}
}

// BenchmarkLoan measures borrowing over the loopback interface from a holder of
// 690 budgets.
func BenchmarkLoan(b *testing.B) {
	w, budgets := newHolder(b)
	mux := goji.NewMux()
	mux.Handle(pat.Post(Path+"/:kind"), Handler(HandlerSettings{Lender: w, Clock: time.Now, Log: hclog.NewNullLogger()}))
	s := httptest.NewServer(mux)
	b.Cleanup(s.Close)
	members := []membership.Record{{VM: "holder", FailureDomain: "here", Address: netip.MustParseAddrPort(s.Listener.Addr().String())}}
	l := New(Settings{
		Self: "self", Incarnation: "self-1", FailureDomain: "here", Members: func() []membership.Record { return members },
		Timeout: time.Second, LoanTimeout: time.Second, SpareTimeout: time.Second, Clock: time.Now,
		OnLateLoan: func(time.Time, ident.Budget, tokens.Count) {},
	})
	b.Cleanup(func() { require.NoError(b, l.Close()) })
	for i := 0; b.Loop(); i++ {
		if _, err := l.Borrow(context.Background(), benchLoan(budgets[i%len(budgets)])); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLend measures lending from a wallet that holds 690 budgets.
func BenchmarkLend(b *testing.B) {
	w, budgets := newHolder(b)
	for i := 0; b.Loop(); i++ {
		if _, err := w.Lend(context.Background(), time.Now(), benchLoan(budgets[i%len(budgets)])); err != nil {
			b.Fatal(err)
		}
	}
}
