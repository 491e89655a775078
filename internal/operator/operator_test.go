package operator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/operator"
	"example.org/lagoonfork/internal/settings"
	"example.org/lagoonfork/pkg/store"
)

const urad = "../../examples/urad.json"

// bench is a fleet of fake routers and the files of an operator.
type bench struct {
	t       *testing.T
	service *keyvalue.Service
	client  *keyvalue.Client
	dir     string
	// revisionLag is taken off the revision that vm-1 reports.
	revisionLag atomic.Int64
	calls       atomic.Int64
}

func newBench(t *testing.T, vms int) *bench {
	b := &bench{t: t, service: keyvalue.New(keyvalue.Settings{}), dir: t.TempDir()}
	b.client = b.service.Client()
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i+1)
		server := httptest.NewServer(b.router(name))
		t.Cleanup(server.Close)
		record := fmt.Sprintf(`{"vm":%q,"incarnation":"%s-x","address":%q,"region":"r"}`, name, name, server.Listener.Addr())
		_, err := b.client.Put(t.Context(), "vm/"+name, []byte(record), store.Always, store.NoLease)
		require.NoError(t, err)
	}
	b.write("settings.json", `{"store":["127.0.0.1:2379"],"peerSecret":"sample-peer-secret-not-for-use","inForceSeconds":1}`)
	return b
}

func (b *bench) write(name, content string) string {
	path := filepath.Join(b.dir, name)
	require.NoError(b.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// router answers as a router does that has the revision in force.
func (b *bench) router(name string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/v1/status", func(w http.ResponseWriter, r *http.Request) {
		entry, err := b.client.Get(r.Context(), manifest.HeadKey)
		assert.NoError(b.t, err)
		var head manifest.Manifest
		if entry.Revision > 0 {
			assert.NoError(b.t, json.Unmarshal(entry.Value, &head))
		}
		revision := int64(head.Revision)
		if name == "vm-1" {
			revision -= b.revisionLag.Load()
		}
		fmt.Fprintf(w, `{"vm":%q,"revision":%d,"ready":true,"draining":false}`, name, revision)
	})
	mux.HandleFunc("GET /peer/v1/upstreams", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `[{"id":"orloj-llm-1","state":"live","inFlight":3},{"id":"orloj-llm-2","state":"leaving\u001b[2J","inFlight":0}]`)
	})
	mux.HandleFunc("POST /peer/v1/upstreams/{id}/drain", func(w http.ResponseWriter, r *http.Request) {
		if r.PathValue("id") != "orloj-llm-1" {
			http.NotFound(w, r)
			return
		}
		b.calls.Add(1)
		fmt.Fprint(w, `{}`)
	})
	mux.HandleFunc("GET /peer/v1/customers", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `[{"customer":"urad-inspection","inFlight":2}]`)
	})
	mux.HandleFunc("GET /peer/v1/requests/{id}", func(w http.ResponseWriter, r *http.Request) {
		if name != "vm-2" || r.PathValue("id") != "req-1" {
			http.NotFound(w, r)
			return
		}
		fmt.Fprint(w, `{"request":"req-1","decisions":[{"event":301,"upstream":"orloj-llm-1","reason":"least wait"}]}`)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Peer-Secret") != "sample-peer-secret-not-for-use" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// run runs a command line. "SETTINGS" stands for the settings flag.
func (b *bench) run(line string, input ...string) (output string, code int) {
	var out, progress bytes.Buffer
	app := kingpin.New("lagoonfork", "")
	app.Terminate(nil)
	app.UsageWriter(&progress)
	app.ErrorWriter(&progress)
	operator.Register(app, operator.Environment{
		Context: b.t.Context(),
		Input:   strings.NewReader(strings.Join(input, "\n") + "\n"),
		Output:  &out,
		Errors:  &progress,
		Open:    func(settings.Operator) (store.Store, error) { return b.client, nil },
		Clock:   time.Now,
	})
	line = strings.ReplaceAll(line, "SETTINGS", "--settings="+filepath.Join(b.dir, "settings.json"))
	_, err := app.Parse(strings.Fields(line))
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	assert.NotContains(b.t, out.String()+progress.String(), "sample-key")
	assert.NotContains(b.t, out.String()+progress.String(), "sample-peer-secret")
	return out.String(), operator.ExitCode(err)
}

// expect runs a command line and checks its exit code and output.
func (b *bench) expect(code int, line string, contents ...string) string {
	b.t.Helper()
	output, got := b.run(line)
	assert.Equal(b.t, code, got, "%s\n%s", line, output)
	for _, content := range contents {
		assert.Contains(b.t, output, content, line)
	}
	return output
}

func TestAnswersFromFileToFleet(t *testing.T) {
	b := newBench(t, 3)
	b.expect(1, "answers show SETTINGS", "no revision is in force")
	b.expect(0, "answers check "+urad, "is right: 10 customers, 2 services")
	first := b.expect(0, "answers generate "+urad, `"revision": 1`)
	assert.Equal(t, first, b.expect(0, "answers generate "+urad))
	b.expect(0, "answers diff SETTINGS "+urad, "+ customers")
	b.expect(0, "answers apply SETTINGS "+urad, "revision 1 in force on 3 of 3 VMs")
	b.expect(0, "answers diff SETTINGS "+urad)

	shown := b.expect(0, "answers show SETTINGS", `"revision": 1`)
	mine := b.write("mine.json", strings.Replace(shown, `"prepaid": 500000`, `"prepaid": 600000`, 1))
	theirs := b.write("theirs.json", strings.Replace(shown, `"preference": "caution"`, `"preference": "availability"`, 1))
	clash := b.write("clash.json", strings.Replace(shown, `"crashLimit": 2`, `"crashLimit": 3`, 1))
	other := b.write("other.json", strings.Replace(shown, `"crashLimit": 2`, `"crashLimit": 4`, 1))
	b.expect(0, "answers diff "+urad+" "+mine, "prepaid: 500000 -> 600000")
	b.expect(0, "answers apply SETTINGS --json "+theirs, `"inForce": 3`)
	b.expect(3, "answers apply SETTINGS "+mine, "made from revision 1, but revision 2 is in force", "theirs ~ policy.preference", "mine   ~ customers[")
	b.expect(0, "answers apply SETTINGS --merge "+mine, "revision 3 in force")
	b.expect(0, "answers apply SETTINGS --merge "+clash, "revision 4 in force")
	b.expect(3, "answers apply SETTINGS --merge "+other, "both   policy.crashLimit")
	merged := b.expect(0, "answers show SETTINGS", `"prepaid": 600000`, `"preference": "availability"`, `"crashLimit": 3`)
	assert.NotContains(t, merged, `"key"`)
}

func TestApplyNamesLaggingVMs(t *testing.T) {
	b := newBench(t, 3)
	b.revisionLag.Store(1)
	b.expect(5, "answers apply SETTINGS "+urad, "in force on 2 of 3 VMs", "vm-1", "1 VMs lag")
	b.revisionLag.Store(0)
	b.expect(0, "answers apply SETTINGS "+urad, "revision 1 in force on 3 of 3 VMs")
}

func TestUnknownOutcomeIsFoundOutByIdentifier(t *testing.T) {
	b := newBench(t, 1)
	b.client.SetFaults(keyvalue.Faults{WriteLoss: 1})
	b.expect(1, "answers apply SETTINGS --id one "+urad) // no part could be written
	b.client.SetFaults(keyvalue.Faults{})
	b.expect(0, "answers apply SETTINGS --id one "+urad, "revision 1")
	shown := b.expect(0, "answers show SETTINGS")
	next := b.write("next.json", strings.Replace(shown, `"crashLimit": 2`, `"crashLimit": 3`, 1))
	b.client.SetFaults(keyvalue.Faults{LoseAnswers: 100})
	output := b.expect(0, "answers apply SETTINGS --id two "+next, "revision 2")
	b.client.SetFaults(keyvalue.Faults{})
	assert.Equal(t, output, b.expect(0, "answers apply SETTINGS --id two "+next))

	next = b.write("next.json", strings.NewReplacer(`"crashLimit": 2`, `"crashLimit": 4`, `"revision": 1`, `"revision": 2`).Replace(shown))
	b.client.SetFaults(keyvalue.Faults{LoseAnswers: 4, LoseWrites: 100}) // all parts arrive, the manifest does not
	b.expect(4, "answers apply SETTINGS --id three "+next, "run the command again with --id three")
	b.client.SetFaults(keyvalue.Faults{})
	b.expect(0, "answers apply SETTINGS --id three "+next, "revision 3")
}

func TestWrongInput(t *testing.T) {
	b := newBench(t, 1)
	bad := b.write("bad.json", `{"customers":[{"id":"a b","name":"x","colour":1}],"rules":[{"id":"r"}]}`)
	b.expect(2, "answers check "+bad, "customers[0].id:", "customers[0].colour: is not a known field", "rules[0].services:")
	b.expect(2, "answers check --json "+bad, `"path": "customers[0].colour"`)
	b.expect(2, "answers apply SETTINGS "+bad)
	b.expect(2, "answers check /no/such/file")
	b.expect(2, "answers apply "+urad, "--settings")
	b.expect(2, "answers eat")
	b.expect(2, "budget topUp SETTINGS x 5")
	b.write("settings.json", `{"store":[],"peerSecret":"sample-peer-secret-not-for-use"}`)
	b.expect(2, "vm show SETTINGS", "store: 0 entries is below the least, 1")
}

func TestBudgets(t *testing.T) {
	b := newBench(t, 1)
	b.expect(0, "answers apply SETTINGS "+urad)
	b.expect(0, "budget show SETTINGS farnost-trnava-main", "500000")
	b.expect(0, "budget topUp SETTINGS farnost-trnava-main 250 --id t1", "has top-up t1 of 250 tokens")
	b.expect(0, "budget topUp SETTINGS farnost-trnava-main 250 --id t1")
	b.expect(2, "budget topUp SETTINGS none 250 --id t2", `no budget "none"`)
	b.expect(2, "budget topUp SETTINGS farnost-trnava-main 0 --id t2")
	b.expect(0, "budget show SETTINGS farnost-trnava-main", "500250")

	page := ledger.Page{}
	page.Apply(ledger.Op{Budget: "urad-licensing-main", Draw: &ledger.Draw{Holder: "vm-1-x", Sequence: 1, Want: 1000, Least: 1,
		Funding: ledger.Funding{Customer: "urad-licensing", Prepaid: 300000000, Revision: 1}}}, time.Unix(0, 0))
	data, err := ledger.Encode(&page)
	require.NoError(t, err)
	_, err = b.client.Put(t.Context(), ledger.Key(ledger.Index("urad-licensing-main", 16)), data, store.Always, store.NoLease)
	require.NoError(t, err)
	b.expect(0, "budget show SETTINGS urad-licensing-main", "vm-1-x", "1000", "299999000")
	b.expect(0, "customer show SETTINGS", "urad-licensing", "300000000", "INFLIGHT")
	var all []map[string]any
	require.NoError(t, json.Unmarshal([]byte(b.expect(0, "budget show SETTINGS --json")), &all))
	assert.Len(t, all, 11)
}

func TestFleet(t *testing.T) {
	b := newBench(t, 2)
	b.expect(0, "vm show SETTINGS", "vm-2", "READY")
	output := b.expect(0, "upstream show SETTINGS", "orloj-llm-1", "INFLIGHT")
	assert.NotContains(t, output, "\x1b")
	b.expect(0, "upstream drain SETTINGS orloj-llm-1", "from 2 of 2 VMs")
	assert.EqualValues(t, 2, b.calls.Load())
	b.expect(2, "upstream drain SETTINGS none")
	b.expect(0, "explain SETTINGS req-1", "least wait")
	b.expect(1, "explain SETTINGS req-2", "no VM has it")

	_, err := b.client.Put(t.Context(), "vm/vm-3", []byte(`{"vm":"vm-3","address":"127.0.0.1:1"}`), store.Always, store.NoLease)
	require.NoError(t, err)
	b.expect(0, "vm show SETTINGS --json", "asking VM vm-3")
	b.expect(5, "upstream drain SETTINGS orloj-llm-1", "from 2 of 3 VMs")
}

func TestQuestionnaire(t *testing.T) {
	b := newBench(t, 0)
	lines := []string{
		"speed", "availability", "", "", "", "", "", "", "", // preference asked twice, then the defaults
		"yes", "farnost", "Farnosť", "0", "2", // customer, weight asked twice
		"yes", "farnost-main", "500000", "no",
		"yes", "farnost-ask", "sample-key-farnost-not-for-use", "farnost-main", "", "", "no",
		"no",
		"yes", "llm", "engine",
		"yes", "m", "1", "", "", "", "no",
		"no",
		"yes", "llm-1", "10.0.0.1:9000", "fd", "r", "yes", "", "no",
		"no",
		"yes", "all", "", "", "llm", "no",
	}
	output, code := b.run("answers new", lines...)
	require.Equal(t, 0, code, output)
	file := b.write("new.json", output)
	b.expect(0, "answers check "+file, "1 customers, 1 services")
	assert.Contains(t, output, `"weight": 2`)

	output, code = b.run("answers new --from "+file, append(make([]string, 8), "no", "no", "no")...)
	require.Equal(t, 0, code, output)
	b.expect(0, "answers diff "+file+" "+b.write("again.json", output))
	_, code = b.run("answers new", "caution")
	assert.Equal(t, 1, code)
}
