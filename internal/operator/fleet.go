package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

const (
	// vmPrefix begins the keys of the routers' records.
	vmPrefix = "vm/"
	// pollInterval is the time between two looks at the VMs.
	pollInterval = 200 * time.Millisecond
	// parallel is the number of VMs that are asked at the same time.
	parallel = 32
	// maxResponse is the greatest size of a router's response in bytes.
	maxResponse = 16 << 20
	// secretHeader carries the peer secret.
	secretHeader = "X-Peer-Secret"
)

// errNotFound reports that a router knows nothing of what was asked for.
var errNotFound = errors.New("not found")

// vmRecord is the record of a router in the key-value service.
type vmRecord struct {
	VM          ident.VM          `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     netip.AddrPort    `json:"address"`
}

// vmState is a record with what the router says of itself.
type vmState struct {
	vmRecord
	Revision configuration.Revision `json:"revision"`
	Ready    bool                   `json:"ready"`
	Draining bool                   `json:"draining"`
	Problem  string                 `json:"problem,omitempty"`
}

func (c *command) registerFleet(app *kingpin.Application) {
	var id string

	customer := app.Command("customer", "Member organisations.")
	c.add(customer, "show", "Show who draws how much of what.", true, func() error { return c.withFleet(c.showCustomers) })

	vm := app.Command("vm", "Entry VMs.")
	c.add(vm, "show", "Show the VMs and the revisions that they have in force.", true, func() error { return c.withFleet(c.showVMs) })

	upstream := app.Command("upstream", "Model engines and plain services.")
	c.add(upstream, "show", "Show the upstreams as each VM sees them.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error { return c.showFromAll(ctx, f, "/peer/v1/upstreams") })
	})
	drain := c.add(upstream, "drain", "Give an upstream no new work.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error { return c.drain(ctx, f, id) })
	})
	drain.Arg("upstream", "Upstream.").Required().StringVar(&id)

	explain := c.add(app, "explain", "Show what was decided on a request, and why.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error {
			return c.showFromAll(ctx, f, "/peer/v1/requests/"+url.PathEscape(id))
		})
	})
	explain.Arg("request", "Identifier of the request.").Required().StringVar(&id)
}

// records returns the VMs that are registered in the key-value service.
func (f *fleet) records(ctx context.Context) ([]vmRecord, error) {
	entries, _, err := f.store.List(ctx, vmPrefix)
	if err != nil {
		return nil, err
	}
	records := make([]vmRecord, 0, len(entries))
	for _, entry := range entries {
		var r vmRecord
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			return nil, merry.Prependf(err, "reading %s", entry.Key)
		}
		records = append(records, r)
	}
	return records, nil
}

// call sends a request to a router and returns the body of its response.
func (f *fleet) call(ctx context.Context, r vmRecord, method, path string) (body []byte, err error) {
	defer func() { err = merry.Prependf(err, "asking VM %s", r.VM) }()
	address := url.URL{Scheme: "http", Host: r.Address.String()}
	req, err := http.NewRequestWithContext(ctx, method, address.String()+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(secretHeader, string(f.settings.PeerSecret))
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusNotFound:
		return nil, errNotFound
	case resp.StatusCode/100 != 2:
		return nil, merry.Errorf("status %s", resp.Status)
	}
	return body, nil
}

// answer is what one router answered.
type answer struct {
	record vmRecord
	body   []byte
	err    error
}

// callAll sends a request to all routers and returns the answers in order of VM.
func (f *fleet) callAll(ctx context.Context, method, path string) ([]answer, error) {
	records, err := f.records(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]answer, len(records))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, r := range records {
		group.Go(func() error {
			body, err := f.call(ctx, r, method, path)
			answers[i] = answer{record: r, body: body, err: err}
			return nil
		})
	}
	return answers, group.Wait()
}

// vms returns the state of each registered VM.
func (f *fleet) vms(ctx context.Context) ([]vmState, error) {
	answers, err := f.callAll(ctx, http.MethodGet, "/peer/v1/status")
	if err != nil {
		return nil, err
	}
	states := make([]vmState, 0, len(answers))
	for _, a := range answers {
		s := vmState{vmRecord: a.record}
		if a.err == nil {
			a.err = json.Unmarshal(a.body, &s)
		}
		s.vmRecord = a.record
		if a.err != nil {
			s.Problem = a.err.Error()
		}
		states = append(states, s)
	}
	return states, nil
}

func (c *command) showVMs(ctx context.Context, f *fleet) error {
	states, err := f.vms(ctx)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.Output, states)
	}
	rows := make([][]string, 0, len(states))
	for _, s := range states {
		rows = append(rows, []string{
			string(s.VM), string(s.Incarnation), s.Address.String(), fmt.Sprint(s.Revision),
			fmt.Sprint(s.Ready), fmt.Sprint(s.Draining), s.Problem,
		})
	}
	return printTable(c.Output, []string{"VM", "INCARNATION", "ADDRESS", "REVISION", "READY", "DRAINING", "PROBLEM"}, rows)
}

func (c *command) showCustomers(ctx context.Context, f *fleet) error {
	inForce, err := f.publisher.InForce(ctx)
	if err != nil {
		return err
	}
	accounts, err := f.accounts(ctx, &inForce.Configuration)
	if err != nil {
		return err
	}
	list := drawings(&inForce.Configuration, accounts)
	fromVMs, _, err := c.collect(ctx, f, "/peer/v1/customers")
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.Output, struct {
			Ledger []drawing `json:"ledger"`
			VMs    []any     `json:"vms"`
		}{list, fromVMs})
	}
	rows := make([][]string, 0, len(list))
	for _, d := range list {
		rows = append(rows, []string{
			string(d.Customer), fmt.Sprint(d.Weight), fmt.Sprint(d.Prepaid), fmt.Sprint(d.Settled),
			fmt.Sprintf("%.1f%%", 100*d.SettledShare), fmt.Sprint(d.Shared), fmt.Sprint(d.Free),
		})
	}
	header := []string{"CUSTOMER", "WEIGHT", "PREPAID", "SETTLED", "OF ALL", "SHARED", "FREE"}
	if err := printTable(c.Output, header, rows); err != nil || len(fromVMs) == 0 {
		return err
	}
	if _, err := fmt.Fprintln(c.Output); err != nil {
		return err
	}
	return printValue(c.Output, fromVMs)
}

// collect asks all routers and joins their lists, adding the VM to each
// element. It returns the number of routers that did not answer.
func (c *command) collect(ctx context.Context, f *fleet, path string) (list []any, failed int, err error) {
	answers, err := f.callAll(ctx, http.MethodGet, path)
	if err != nil {
		return nil, 0, err
	}
	list = make([]any, 0)
	for _, a := range answers {
		if errors.Is(a.err, errNotFound) {
			continue
		}
		var value any
		if a.err == nil {
			value, a.err = decodeAny(a.body)
		}
		if a.err != nil {
			failed++
			c.report("%v\n", a.err)
			continue
		}
		list = append(list, flatten(a.record.VM, value)...)
	}
	return list, failed, nil
}

// flatten returns the objects of a router's answer with the VM as member from.
func flatten(vm ident.VM, value any) (list []any) {
	switch v := value.(type) {
	case []any:
		for _, element := range v {
			list = append(list, flatten(vm, element)...)
		}
		return list
	case map[string]any:
		v["from"] = string(vm)
		return []any{v}
	}
	return []any{map[string]any{"from": string(vm), "value": value}}
}

// showFromAll shows what all routers answer on a path.
func (c *command) showFromAll(ctx context.Context, f *fleet, path string) error {
	list, failed, err := c.collect(ctx, f, path)
	switch {
	case err != nil:
		return err
	case len(list) == 0 && failed > 0:
		return merry.Errorf("%d VMs did not answer, and no other has it", failed)
	case len(list) == 0:
		return merry.Prepend(errNotFound, "no VM has it")
	case c.json:
		return printJSON(c.Output, list)
	case len(list) == 1:
		return printValue(c.Output, list[0])
	}
	return printValue(c.Output, list)
}

func (c *command) drain(ctx context.Context, f *fleet, id string) error {
	answers, err := f.callAll(ctx, http.MethodPost, "/peer/v1/upstreams/"+url.PathEscape(id)+"/drain")
	if err != nil {
		return err
	}
	unknown, failed := 0, make([]string, 0)
	for _, a := range answers {
		switch {
		case errors.Is(a.err, errNotFound):
			unknown++
		case a.err != nil:
			failed = append(failed, a.err.Error())
		}
	}
	if unknown == len(answers) {
		return merry.Prependf(errUsage, "no VM knows upstream %q", id)
	}
	if c.json {
		err = printJSON(c.Output, struct {
			Upstream string   `json:"upstream"`
			VMs      int      `json:"vms"`
			Drained  int      `json:"drained"`
			Failed   []string `json:"failed"`
		}{id, len(answers), len(answers) - len(failed) - unknown, failed})
	} else {
		_, err = fmt.Fprintf(c.Output, "upstream %s gets no new work from %d of %d VMs\n",
			id, len(answers)-len(failed)-unknown, len(answers))
	}
	if err != nil || len(failed)+unknown == 0 {
		return err
	}
	return merry.Prependf(errNotEverywhere, "%v", failed)
}

// pause waits until d has passed or ctx has ended.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
