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
	// vmPrefix is the prefix of the keys under which routers register.
	vmPrefix = "vm/"
	// pollInterval is the time between two polls of the VMs.
	pollInterval = 200 * time.Millisecond
	// maxConcurrentCalls is the maximum number of VMs queried concurrently.
	maxConcurrentCalls = 32
	// maxResponseBytes is the size beyond which a router's response is truncated.
	maxResponseBytes = 16 << 20
	// secretHeader is the header with the peer secret.
	secretHeader = "X-Peer-Secret"
)

// errNotFound reports that a router does not know the requested object.
var errNotFound = errors.New("not found")

// vmRecord is the registration of a router in the key-value service.
type vmRecord struct {
	VM          ident.VM          `json:"vm"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Address     netip.AddrPort    `json:"address"`
}

// vmState is a registration with the status that the router returned. Problem
// is set if the status could not be read.
type vmState struct {
	vmRecord
	Revision configuration.Revision `json:"revision"`
	Ready    bool                   `json:"ready"`
	Draining bool                   `json:"draining"`
	Problem  string                 `json:"problem,omitempty"`
}

// registerFleet adds the commands that read from the routers.
func (c *command) registerFleet(app *kingpin.Application) {
	var id string

	customer := app.Command("customer", "Member organisations.")
	c.addCommand(customer, "show", "Show the tokens of each customer, and the figures of each VM.", true, func() error { return c.withFleet(c.showCustomers) })

	vm := app.Command("vm", "Entry VMs.")
	c.addCommand(vm, "show", "Show the VMs and the revisions that they have in force.", true, func() error { return c.withFleet(c.showVMs) })

	upstream := app.Command("upstream", "Model engines and plain services.")
	c.addCommand(upstream, "show", "Show the upstreams as each VM sees them.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error { return c.showFromAll(ctx, f, "/peer/v1/upstreams") })
	})
	drain := c.addCommand(upstream, "drain", "Give an upstream no new work.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error { return c.drain(ctx, f, id) })
	})
	drain.Arg("upstream", "Upstream.").Required().StringVar(&id)

	explain := c.addCommand(app, "explain", "Show what was decided on a request, and why.", true, func() error {
		return c.withFleet(func(ctx context.Context, f *fleet) error {
			return c.showFromAll(ctx, f, "/peer/v1/requests/"+url.PathEscape(id))
		})
	})
	explain.Arg("request", "Identifier of the request.").Required().StringVar(&id)
}

// registeredVMs returns the registrations in the key-value service.
func (f *fleet) registeredVMs(ctx context.Context) ([]vmRecord, error) {
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

// call sends a request to a router and returns the body of its response. A
// response with status 404 gives errNotFound.
func (f *fleet) call(ctx context.Context, r vmRecord, method, path string) (body []byte, err error) {
	defer func() { err = merry.Prependf(err, "calling VM %s", r.VM) }()
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
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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

// vmResponse is the response of one router, or the error of the call.
type vmResponse struct {
	record vmRecord
	body   []byte
	err    error
}

// callAll sends a request to all registered routers and returns a response for
// each of them, in order of registration key.
func (f *fleet) callAll(ctx context.Context, method, path string) ([]vmResponse, error) {
	records, err := f.registeredVMs(ctx)
	if err != nil {
		return nil, err
	}
	responses := make([]vmResponse, len(records))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, r := range records {
		group.Go(func() error {
			body, err := f.call(ctx, r, method, path)
			responses[i] = vmResponse{record: r, body: body, err: err}
			return nil
		})
	}
	return responses, group.Wait()
}

// vmStates queries the status of each registered VM.
func (f *fleet) vmStates(ctx context.Context) ([]vmState, error) {
	responses, err := f.callAll(ctx, http.MethodGet, "/peer/v1/status")
	if err != nil {
		return nil, err
	}
	states := make([]vmState, 0, len(responses))
	for _, r := range responses {
		s := vmState{vmRecord: r.record}
		if r.err == nil {
			r.err = json.Unmarshal(r.body, &s)
		}
		s.vmRecord = r.record
		if r.err != nil {
			s.Problem = r.err.Error()
		}
		states = append(states, s)
	}
	return states, nil
}

func (c *command) showVMs(ctx context.Context, f *fleet) error {
	states, err := f.vmStates(ctx)
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

// showCustomers prints the tokens of each customer from the ledger, and the
// figures of the VMs.
func (c *command) showCustomers(ctx context.Context, f *fleet) error {
	inForce, err := f.publisher.InForce(ctx)
	if err != nil {
		return err
	}
	accounts, err := f.accounts(ctx, &inForce.Configuration)
	if err != nil {
		return err
	}
	list := usageByCustomer(&inForce.Configuration, accounts)
	fromVMs, _, err := c.collect(ctx, f, "/peer/v1/customers")
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(c.Output, struct {
			Ledger []customerUsage `json:"ledger"`
			VMs    []any           `json:"vms"`
		}{list, fromVMs})
	}
	rows := make([][]string, 0, len(list))
	for _, u := range list {
		rows = append(rows, []string{
			string(u.Customer), fmt.Sprint(u.Weight), fmt.Sprint(u.Prepaid), fmt.Sprint(u.Settled),
			fmt.Sprintf("%.1f%%", 100*u.SettledShare), fmt.Sprint(u.Shared), fmt.Sprint(u.Free),
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

// collect queries all routers and concatenates the objects that they return,
// each with its VM added. Routers that do not know the path are skipped; failed
// counts those whose response could not be read.
func (c *command) collect(ctx context.Context, f *fleet, path string) (list []any, failed int, err error) {
	responses, err := f.callAll(ctx, http.MethodGet, path)
	if err != nil {
		return nil, 0, err
	}
	list = make([]any, 0)
	for _, r := range responses {
		if errors.Is(r.err, errNotFound) {
			continue
		}
		var value any
		if r.err == nil {
			value, r.err = decodeAny(r.body)
		}
		if r.err != nil {
			failed++
			c.report("%v\n", r.err)
			continue
		}
		list = append(list, flatten(r.record.VM, value)...)
	}
	return list, failed, nil
}

// flatten returns the objects in a router's response, each with the VM in its
// member "from". A value that is not an object is wrapped in one.
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

// showFromAll prints the objects that the routers return for a path.
func (c *command) showFromAll(ctx context.Context, f *fleet, path string) error {
	list, failed, err := c.collect(ctx, f, path)
	switch {
	case err != nil:
		return err
	case len(list) == 0 && failed > 0:
		return merry.Errorf("the responses of %d VMs could not be read, and no other VM knows the requested object", failed)
	case len(list) == 0:
		return merry.Prepend(errNotFound, "no VM knows the requested object")
	case c.json:
		return printJSON(c.Output, list)
	case len(list) == 1:
		return printValue(c.Output, list[0])
	}
	return printValue(c.Output, list)
}

// drain tells all routers to give an upstream no new requests.
func (c *command) drain(ctx context.Context, f *fleet, id string) error {
	responses, err := f.callAll(ctx, http.MethodPost, "/peer/v1/upstreams/"+url.PathEscape(id)+"/drain")
	if err != nil {
		return err
	}
	unknown, failed := 0, make([]string, 0)
	for _, r := range responses {
		switch {
		case errors.Is(r.err, errNotFound):
			unknown++
		case r.err != nil:
			failed = append(failed, r.err.Error())
		}
	}
	if unknown == len(responses) {
		return merry.Prependf(errUsage, "no VM knows upstream %q", id)
	}
	if c.json {
		err = printJSON(c.Output, struct {
			Upstream string   `json:"upstream"`
			VMs      int      `json:"vms"`
			Drained  int      `json:"drained"`
			Failed   []string `json:"failed"`
		}{id, len(responses), len(responses) - len(failed) - unknown, failed})
	} else {
		_, err = fmt.Fprintf(c.Output, "upstream %s gets no new work from %d of %d VMs\n",
			id, len(responses)-len(failed)-unknown, len(responses))
	}
	if err != nil || len(failed)+unknown == 0 {
		return err
	}
	return merry.Prependf(errPartial, "%v", failed)
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
