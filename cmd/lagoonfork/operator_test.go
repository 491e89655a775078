package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/examples"
	"example.org/lagoonfork/internal/embedded"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/operator"
	"example.org/lagoonfork/pkg/answers"
)

const testTimeout = 30 * time.Second

// fleet is a running deployment with the files of an operator.
type fleet struct {
	*embedded.Deployment
	dir string
}

func startFleet(t *testing.T, routers int) *fleet {
	a, err := answers.Decode(examples.Jegvirag)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, err := embedded.Start(ctx, embedded.Settings{
		Answers: a,
		Routers: routers,
		Engine:  engine.Settings{TokenInterval: time.Millisecond},
		Clock:   time.Now,
		Log:     hclog.NewNullLogger(),
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		assert.NoError(t, d.Close(ctx))
	})
	f := &fleet{Deployment: d, dir: t.TempDir()}
	f.write(t, "operator.json", fmt.Appendf(nil, `{"store":[%q],"peerSecret":%q}`, d.GatewayAddress(), embedded.Secret))
	return f
}

func (f *fleet) write(t *testing.T, name string, data []byte) string {
	path := filepath.Join(f.dir, name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// run runs an operator's command and returns its output and exit code.
func (f *fleet) run(args ...string) (out string, code int) {
	var buffer bytes.Buffer
	app := kingpin.New("lagoonfork", "").Terminate(nil)
	operator.Register(app, operator.Environment{
		Context: context.Background(),
		Input:   strings.NewReader(""),
		Output:  &buffer,
		Errors:  &buffer,
		Open:    openStore,
		Clock:   time.Now,
	})
	_, err := app.Parse(append(args, "--settings", filepath.Join(f.dir, "operator.json")))
	if err != nil {
		fmt.Fprintln(&buffer, err)
	}
	return buffer.String(), operator.ExitCode(err)
}

// inForce returns the answers in force as printed by answers show.
func (f *fleet) inForce(t *testing.T) map[string]any {
	out, code := f.run("answers", "show", "--json")
	require.Zero(t, code, out)
	var document map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &document), out)
	return document
}

func TestApplyReachesAllRoutersAndRefusesAStaleWriter(t *testing.T) {
	f := startFleet(t, 3)
	first, second := f.inForce(t), f.inForce(t)
	first["policy"].(map[string]any)["crashLimit"] = 4
	second["policy"].(map[string]any)["crashLimit"] = 5

	data, err := json.Marshal(first)
	require.NoError(t, err)
	out, code := f.run("answers", "apply", f.write(t, "first.json", data))
	require.Zero(t, code, out)
	for _, r := range f.Routers {
		assert.Equal(t, 4, r.Index().Configuration().Policy.CrashLimit, "in force once the command returns")
	}

	data, err = json.Marshal(second)
	require.NoError(t, err)
	out, code = f.run("answers", "apply", f.write(t, "second.json", data))
	assert.Equal(t, operator.ExitConflict, code, out)
	assert.Contains(t, out, "crashLimit")
	for _, r := range f.Routers {
		assert.Equal(t, 4, r.Index().Configuration().Policy.CrashLimit)
	}
}

func TestCommandsAgainstRouters(t *testing.T) {
	f := startFleet(t, 2)
	keys, err := embedded.PlaintextKeys(examples.Jegvirag)
	require.NoError(t, err)
	sample := &embedded.Sample{Deployment: f.Deployment, Keys: keys}
	report, err := sample.Run(context.Background())
	require.NoError(t, err)
	require.True(t, report.Clean(), "%+v", report)

	for _, tt := range []struct {
		args []string
		want string
	}{
		{[]string{"vm", "show"}, "vm-1"},
		{[]string{"upstream", "show"}, "drafting"},
		{[]string{"budget", "show"}, "balaton-bankett-quotes"},
		{[]string{"customer", "show"}, "balaton-bankett"},
		{[]string{"budget", "topUp", "muhely-eger-main", "5000", "--id", "purchase-1"}, "5000"},
		{[]string{"explain", sample.LastRequest()}, "route"},
	} {
		out, code := f.run(tt.args...)
		assert.Zero(t, code, "%v: %s", tt.args, out)
		assert.Contains(t, out, tt.want, "%v", tt.args)
	}
}

func TestPeerEndpointRefusesACallerWithoutTheSecret(t *testing.T) {
	f := startFleet(t, 1)
	for _, path := range []string{"/peer/v1/status", "/peer/v1/records", "/debug/vars", "/peer/v1/metrics"} {
		response, err := http.Get("http://" + f.Routers[0].PeerAddress().String() + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, http.StatusUnauthorized, response.StatusCode, path)
	}
}
