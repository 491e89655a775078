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

const uradAnswers = "../../examples/urad.json"

// testFleet is a set of fake routers with a key-value service and the files of
// an operator.
type testFleet struct {
	t       *testing.T
	service *keyvalue.Service
	client  *keyvalue.Client
	dir     string
	// revisionLag is subtracted from the revision that vm-1 reports.
	revisionLag atomic.Int64
	calls       atomic.Int64
}

func newTestFleet(t *testing.T, vms int) *testFleet {
	f := &testFleet{t: t, service: keyvalue.New(keyvalue.Settings{}), dir: t.TempDir()}
	f.client = f.service.Client()
	for i := range vms {
		name := fmt.Sprintf("vm-%d", i+1)
		server := httptest.NewServer(f.router(name))
		t.Cleanup(server.Close)
		record := fmt.Sprintf(`{"vm":%q,"incarnation":"%s-x","address":%q,"region":"r"}`, name, name, server.Listener.Addr())
		_, err := f.client.Put(t.Context(), "vm/"+name, []byte(record), store.Always, store.NoLease)
		require.NoError(t, err)
	}
	f.write("settings.json", `{"store":["127.0.0.1:2379"],"peerSecret":"sample-peer-secret-not-for-use","inForceSeconds":1}`)
	return f
}

func (f *testFleet) write(name, content string) string {
	path := filepath.Join(f.dir, name)
	require.NoError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// router returns the peer endpoint of a fake router that reports the revision in
// the head manifest.
func (f *testFleet) router(name string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peer/v1/status", func(w http.ResponseWriter, r *http.Request) {
		entry, err := f.client.Get(r.Context(), manifest.HeadKey)
		assert.NoError(f.t, err)
		var head manifest.Manifest
		if entry.Revision > 0 {
			assert.NoError(f.t, json.Unmarshal(entry.Value, &head))
		}
		revision := int64(head.Revision)
		if name == "vm-1" {
			revision -= f.revisionLag.Load()
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
		f.calls.Add(1)
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

// run runs a command line, in which SETTINGS is replaced by the settings flag.
// It checks that no secret is printed.
func (f *testFleet) run(line string, input ...string) (output string, code int) {
	var out, progress bytes.Buffer
	app := kingpin.New("lagoonfork", "")
	app.Terminate(nil)
	app.UsageWriter(&progress)
	app.ErrorWriter(&progress)
	operator.Register(app, operator.Environment{
		Context: f.t.Context(),
		Input:   strings.NewReader(strings.Join(input, "\n") + "\n"),
		Output:  &out,
		Errors:  &progress,
		Open:    func(settings.Operator) (store.Store, error) { return f.client, nil },
		Clock:   time.Now,
	})
	line = strings.ReplaceAll(line, "SETTINGS", "--settings="+filepath.Join(f.dir, "settings.json"))
	_, err := app.Parse(strings.Fields(line))
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	assert.NotContains(f.t, out.String()+progress.String(), "sample-key")
	assert.NotContains(f.t, out.String()+progress.String(), "sample-peer-secret")
	return out.String(), operator.ExitCode(err)
}

// expect runs a command line and checks its exit code and output.
func (f *testFleet) expect(code int, line string, contents ...string) string {
	f.t.Helper()
	output, got := f.run(line)
	assert.Equal(f.t, code, got, "%s\n%s", line, output)
	for _, content := range contents {
		assert.Contains(f.t, output, content, line)
	}
	return output
}

func TestAnswersFromFileToFleet(t *testing.T) {
	f := newTestFleet(t, 3)
	f.expect(1, "answers show SETTINGS", "no revision is in force")
	f.expect(0, "answers check "+uradAnswers, "is right: 10 customers, 2 services")
	first := f.expect(0, "answers generate "+uradAnswers, `"revision": 1`)
	assert.Equal(t, first, f.expect(0, "answers generate "+uradAnswers))
	f.expect(0, "answers diff SETTINGS "+uradAnswers, "+ customers")
	f.expect(0, "answers apply SETTINGS "+uradAnswers, "revision 1 in force on 3 of 3 VMs")
	f.expect(0, "answers diff SETTINGS "+uradAnswers)

	shown := f.expect(0, "answers show SETTINGS", `"revision": 1`)
	mine := f.write("mine.json", strings.Replace(shown, `"prepaid": 500000`, `"prepaid": 600000`, 1))
	theirs := f.write("theirs.json", strings.Replace(shown, `"preference": "caution"`, `"preference": "availability"`, 1))
	conflicting := f.write("clash.json", strings.Replace(shown, `"crashLimit": 2`, `"crashLimit": 3`, 1))
	other := f.write("other.json", strings.Replace(shown, `"crashLimit": 2`, `"crashLimit": 4`, 1))
	f.expect(0, "answers diff "+uradAnswers+" "+mine, "prepaid: 500000 -> 600000")
	f.expect(0, "answers apply SETTINGS --json "+theirs, `"inForce": 3`)
	f.expect(3, "answers apply SETTINGS "+mine, "made from revision 1, but revision 2 is in force", "theirs ~ policy.preference", "mine   ~ customers[")
	f.expect(0, "answers apply SETTINGS --merge "+mine, "revision 3 in force")
	f.expect(0, "answers apply SETTINGS --merge "+conflicting, "revision 4 in force")
	f.expect(3, "answers apply SETTINGS --merge "+other, "both   policy.crashLimit")
	merged := f.expect(0, "answers show SETTINGS", `"prepaid": 600000`, `"preference": "availability"`, `"crashLimit": 3`)
	assert.NotContains(t, merged, `"key"`)
}

func TestApplyNamesLaggingVMs(t *testing.T) {
	f := newTestFleet(t, 3)
	f.revisionLag.Store(1)
	f.expect(5, "answers apply SETTINGS "+uradAnswers, "in force on 2 of 3 VMs", "vm-1", "1 VMs lag")
	f.revisionLag.Store(0)
	f.expect(0, "answers apply SETTINGS "+uradAnswers, "revision 1 in force on 3 of 3 VMs")
}

func TestUnknownOutcomeIsFoundOutByIdentifier(t *testing.T) {
	f := newTestFleet(t, 1)
	f.client.SetFaults(keyvalue.Faults{WriteLossProbability: 1})
	f.expect(1, "answers apply SETTINGS --id one "+uradAnswers) // no part is written
	f.client.SetFaults(keyvalue.Faults{})
	f.expect(0, "answers apply SETTINGS --id one "+uradAnswers, "revision 1")
	shown := f.expect(0, "answers show SETTINGS")
	next := f.write("next.json", strings.Replace(shown, `"crashLimit": 2`, `"crashLimit": 3`, 1))
	f.client.SetFaults(keyvalue.Faults{LoseResponses: 100})
	output := f.expect(0, "answers apply SETTINGS --id two "+next, "revision 2")
	f.client.SetFaults(keyvalue.Faults{})
	assert.Equal(t, output, f.expect(0, "answers apply SETTINGS --id two "+next))

	next = f.write("next.json", strings.NewReplacer(`"crashLimit": 2`, `"crashLimit": 4`, `"revision": 1`, `"revision": 2`).Replace(shown))
	f.client.SetFaults(keyvalue.Faults{LoseResponses: 4, LoseWrites: 100}) // the parts are written, the manifest is not
	f.expect(4, "answers apply SETTINGS --id three "+next, "run the command again with --id three")
	f.client.SetFaults(keyvalue.Faults{})
	f.expect(0, "answers apply SETTINGS --id three "+next, "revision 3")
}

func TestWrongInput(t *testing.T) {
	f := newTestFleet(t, 1)
	bad := f.write("bad.json", `{"customers":[{"id":"a b","name":"x","colour":1}],"rules":[{"id":"r"}]}`)
	f.expect(2, "answers check "+bad, "customers[0].id:", "customers[0].colour: is not a known field", "rules[0].services:")
	f.expect(2, "answers check --json "+bad, `"path": "customers[0].colour"`)
	f.expect(2, "answers apply SETTINGS "+bad)
	f.expect(2, "answers check /no/such/file")
	f.expect(2, "answers apply "+uradAnswers, "--settings")
	f.expect(2, "answers eat")
	f.expect(2, "budget topUp SETTINGS x 5")
	f.write("settings.json", `{"store":[],"peerSecret":"sample-peer-secret-not-for-use"}`)
	f.expect(2, "vm show SETTINGS", "store: 0 entries is below the least, 1")
}

func TestBudgets(t *testing.T) {
	f := newTestFleet(t, 1)
	f.expect(0, "answers apply SETTINGS "+uradAnswers)
	f.expect(0, "budget show SETTINGS farnost-trnava-main", "500000")
	f.expect(0, "budget topUp SETTINGS farnost-trnava-main 250 --id t1", "has top-up t1 of 250 tokens")
	f.expect(0, "budget topUp SETTINGS farnost-trnava-main 250 --id t1")
	f.expect(2, "budget topUp SETTINGS none 250 --id t2", `no budget "none"`)
	f.expect(2, "budget topUp SETTINGS farnost-trnava-main 0 --id t2")
	f.expect(0, "budget show SETTINGS farnost-trnava-main", "500250")

	page := ledger.Page{}
	page.Apply(ledger.Op{Budget: "urad-licensing-main", Draw: &ledger.Draw{Holder: "vm-1-x", Sequence: 1, Want: 1000, Least: 1,
		Funding: ledger.Funding{Customer: "urad-licensing", Prepaid: 300000000, Revision: 1}}}, time.Unix(0, 0))
	data, err := ledger.Encode(&page)
	require.NoError(t, err)
	_, err = f.client.Put(t.Context(), ledger.PageKey(ledger.PageIndex("urad-licensing-main", 16)), data, store.Always, store.NoLease)
	require.NoError(t, err)
	f.expect(0, "budget show SETTINGS urad-licensing-main", "vm-1-x", "1000", "299999000")
	f.expect(0, "customer show SETTINGS", "urad-licensing", "300000000", "INFLIGHT")
	var all []map[string]any
	require.NoError(t, json.Unmarshal([]byte(f.expect(0, "budget show SETTINGS --json")), &all))
	assert.Len(t, all, 11)
}

func TestFleet(t *testing.T) {
	f := newTestFleet(t, 2)
	f.expect(0, "vm show SETTINGS", "vm-2", "READY")
	output := f.expect(0, "upstream show SETTINGS", "orloj-llm-1", "INFLIGHT")
	assert.NotContains(t, output, "\x1b")
	f.expect(0, "upstream drain SETTINGS orloj-llm-1", "from 2 of 2 VMs")
	assert.EqualValues(t, 2, f.calls.Load())
	f.expect(2, "upstream drain SETTINGS none")
	f.expect(0, "explain SETTINGS req-1", "least wait")
	f.expect(1, "explain SETTINGS req-2", "no VM knows the requested object")

	_, err := f.client.Put(t.Context(), "vm/vm-3", []byte(`{"vm":"vm-3","address":"127.0.0.1:1"}`), store.Always, store.NoLease)
	require.NoError(t, err)
	f.expect(0, "vm show SETTINGS --json", "calling VM vm-3")
	f.expect(5, "upstream drain SETTINGS orloj-llm-1", "from 2 of 3 VMs")
}

func TestQuestionnaire(t *testing.T) {
	f := newTestFleet(t, 0)
	lines := []string{
		"speed", "availability", "", "", "", "", "", "", "", // an invalid preference is asked for again, then the defaults
		"yes", "farnost", "Farnosť", "0", "2", // a customer, whose invalid weight is asked for again
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
	output, code := f.run("answers new", lines...)
	require.Equal(t, 0, code, output)
	file := f.write("new.json", output)
	f.expect(0, "answers check "+file, "1 customers, 1 services")
	assert.Contains(t, output, `"weight": 2`)

	output, code = f.run("answers new --from "+file, append(make([]string, 8), "no", "no", "no")...)
	require.Equal(t, 0, code, output)
	f.expect(0, "answers diff "+file+" "+f.write("again.json", output))
	_, code = f.run("answers new", "caution")
	assert.Equal(t, 1, code)
}
