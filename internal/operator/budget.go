package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/ledger/committer"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// registerBudgets adds the subcommands of budget.
func (c *command) registerBudgets(parent *kingpin.CmdClause) {
	var id, topUp string
	var amount int64

	show := c.addCommand(parent, "show", "Show the prepaid, settled and shared tokens of budgets.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error { return c.showBudgets(ctx, f, ident.Budget(id)) })
	})
	show.Arg("budget", "Budget; all of them by default.").StringVar(&id)

	add := c.addCommand(parent, "topUp", "Add tokens to a budget, once for each identifier.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error {
			return c.topUp(ctx, f, ident.Budget(id), ledger.TopUp{ID: ident.TopUp(topUp), Tokens: tokens.Count(amount)})
		})
	})
	add.Arg("budget", "Budget.").Required().StringVar(&id)
	add.Arg("tokens", "Number of tokens, above 0.").Required().Int64Var(&amount)
	add.Flag("id", "Identifier of the purchase. Repeating it adds nothing.").Required().StringVar(&topUp)
}

// account is the printed form of a budget. Shared counts the tokens granted to
// holders, Free those that can still be granted.
type account struct {
	Budget     ident.Budget     `json:"budget"`
	Customer   ident.Customer   `json:"customer"`
	Prepaid    tokens.Count     `json:"prepaid"`
	Settled    tokens.Count     `json:"settled"`
	Shared     tokens.Count     `json:"shared"`
	Free       tokens.Count     `json:"free"`
	WrittenOff tokens.Count     `json:"writtenOff"`
	Holders    []ledger.Holding `json:"holders,omitempty"`
}

// newAccount combines a budget of the configuration with its ledger entry. The
// entry is nil before the first draw or top-up. An entry that has been topped
// up but not drawn on has no funding yet, so the prepaid tokens of the
// configuration are added to it.
func newAccount(b configuration.Budget, entry *ledger.Budget) account {
	a := account{Budget: b.ID, Customer: b.Customer, Prepaid: b.Prepaid, Free: b.Prepaid}
	if entry == nil {
		return a
	}
	a.Prepaid = entry.Prepaid()
	a.Free = entry.Free()
	if entry.Funding.Revision == 0 { // topped up, not drawn on yet
		a.Prepaid += b.Prepaid
		a.Free += b.Prepaid
	}
	a.Settled = entry.Settled
	a.Shared = entry.Shared()
	a.WrittenOff = entry.WrittenOff
	return a
}

// showBudgets prints the budget id, or all budgets if id is empty.
func (c *command) showBudgets(ctx context.Context, f *fleet, id ident.Budget) error {
	inForce, err := f.publisher.InForce(ctx)
	if err != nil {
		return err
	}
	if id != "" {
		return c.showBudget(ctx, f, &inForce.Configuration, id)
	}
	accounts, err := f.accounts(ctx, &inForce.Configuration)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.Output, accounts)
	}
	return printAccounts(c, accounts)
}

func printAccounts(c *command, accounts []account) error {
	rows := make([][]string, 0, len(accounts))
	for _, a := range accounts {
		rows = append(rows, []string{
			string(a.Budget), string(a.Customer), fmt.Sprint(a.Prepaid), fmt.Sprint(a.Settled),
			fmt.Sprint(a.Shared), fmt.Sprint(a.Free), fmt.Sprint(a.WrittenOff),
		})
	}
	return printTable(c.Output, []string{"BUDGET", "CUSTOMER", "PREPAID", "SETTLED", "SHARED", "FREE", "WRITTEN OFF"}, rows)
}

// showBudget prints one budget and the shares of its holders.
func (c *command) showBudget(ctx context.Context, f *fleet, inForce *configuration.Configuration, id ident.Budget) error {
	b, ok := configuration.NewIndex(inForce).Budget(id)
	if !ok {
		return merry.Prependf(errUsage, "no budget %q", id)
	}
	page, err := f.readLedgerPage(ctx, ledger.PageIndex(id, inForce.Policy.LedgerPages))
	if err != nil {
		return err
	}
	entry := page.Budgets[id]
	a := newAccount(*b, entry)
	if entry != nil {
		a.Holders = entry.Holders()
	}
	if c.json {
		return printJSON(c.Output, a)
	}
	if err := printAccounts(c, []account{a}); err != nil {
		return err
	}
	rows := make([][]string, 0, len(a.Holders))
	for _, h := range a.Holders {
		rows = append(rows, []string{string(h.Holder), fmt.Sprint(h.Granted), fmt.Sprint(h.Reserved)})
	}
	return printTable(c.Output, []string{"HOLDER", "SHARE", "RESERVED"}, rows)
}

// readLedgerPage reads page n of the ledger.
func (f *fleet) readLedgerPage(ctx context.Context, n int) (*ledger.Page, error) {
	entry, err := f.store.Get(ctx, ledger.PageKey(n))
	if err != nil {
		return nil, err
	}
	return ledger.Decode(entry.Value)
}

// accounts returns all budgets in the order of the configuration, which sorts
// them by identifier.
func (f *fleet) accounts(ctx context.Context, inForce *configuration.Configuration) ([]account, error) {
	entries := make(map[ident.Budget]*ledger.Budget)
	for n := range inForce.Policy.LedgerPages {
		page, err := f.readLedgerPage(ctx, n)
		if err != nil {
			return nil, err
		}
		for id, b := range page.Budgets {
			entries[id] = b
		}
	}
	accounts := make([]account, 0, len(inForce.Budgets))
	for _, b := range inForce.Budgets {
		accounts = append(accounts, newAccount(b, entries[b.ID]))
	}
	return accounts, nil
}

// topUp writes a top-up to the ledger. A repeated identifier adds nothing.
func (c *command) topUp(ctx context.Context, f *fleet, id ident.Budget, topUp ledger.TopUp) (err error) {
	inForce, err := f.publisher.InForce(ctx)
	if err != nil {
		return err
	}
	if _, ok := configuration.NewIndex(&inForce.Configuration).Budget(id); !ok {
		return merry.Prependf(errUsage, "no budget %q", id)
	}
	if topUp.Tokens <= 0 || !ident.Valid(string(topUp.ID)) {
		return merry.Prepend(errUsage, "the number of tokens must be above 0 and --id must be an identifier")
	}
	ctx, cancel := context.WithTimeout(ctx, f.settings.InForce())
	defer cancel()
	writer := committer.New(committer.Settings{
		Store: f.store, Pages: inForce.Configuration.Policy.LedgerPages, Clock: c.Clock, Timeout: f.settings.StoreTimeout(),
	})
	defer func() { err = errors.Join(err, writer.Close(context.WithoutCancel(ctx))) }()
	result, err := writer.Apply(ctx, ledger.Op{Budget: id, TopUp: &topUp})
	if err != nil {
		return err
	}
	if result.Outcome != ledger.Applied {
		return merry.Errorf("top-up %s was not applied: %s", topUp.ID, result.Outcome)
	}
	if c.json {
		return printJSON(c.Output, struct {
			Budget  ident.Budget   `json:"budget"`
			TopUp   ident.TopUp    `json:"topUp"`
			Outcome ledger.Outcome `json:"outcome"`
		}{id, topUp.ID, result.Outcome})
	}
	_, err = fmt.Fprintf(c.Output, "budget %s has top-up %s of %d tokens\n", id, topUp.ID, topUp.Tokens)
	return err
}

// customerUsage sums up the budgets of one customer.
type customerUsage struct {
	Customer ident.Customer `json:"customer"`
	Weight   int            `json:"weight"`
	Prepaid  tokens.Count   `json:"prepaid"`
	Settled  tokens.Count   `json:"settled"`
	Shared   tokens.Count   `json:"shared"`
	Free     tokens.Count   `json:"free"`
	// SettledShare is the fraction of the settled tokens of all customers.
	SettledShare float64 `json:"settledShare"`
}

// usageByCustomer sums up the accounts of each customer. It sorts the customers
// by settled tokens, the largest first, then by identifier.
func usageByCustomer(inForce *configuration.Configuration, accounts []account) []customerUsage {
	byCustomer := make(map[ident.Customer]*customerUsage)
	list := make([]*customerUsage, 0, len(inForce.Customers))
	for _, customer := range inForce.Customers {
		u := &customerUsage{Customer: customer.ID, Weight: customer.Weight}
		byCustomer[customer.ID] = u
		list = append(list, u)
	}
	var settled tokens.Count
	for _, a := range accounts {
		u := byCustomer[a.Customer]
		u.Prepaid += a.Prepaid
		u.Settled += a.Settled
		u.Shared += a.Shared
		u.Free += a.Free
		settled += a.Settled
	}
	result := make([]customerUsage, 0, len(list))
	for _, u := range list {
		if settled > 0 {
			u.SettledShare = float64(u.Settled) / float64(settled)
		}
		result = append(result, *u)
	}
	slices.SortStableFunc(result, func(x, y customerUsage) int {
		return cmp.Or(cmp.Compare(y.Settled, x.Settled), strings.Compare(string(x.Customer), string(y.Customer)))
	})
	return result
}
