package hostile

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/examples"
	"example.org/lagoonfork/internal/embedded"
	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/plainservice"
	"example.org/lagoonfork/internal/fake/vmlist"
	"example.org/lagoonfork/internal/processtest"
	"example.org/lagoonfork/pkg/answers"
	wire "example.org/lagoonfork/pkg/engine"
)

// Resources of the VM of a router. The process must stay within them.
const (
	vmMegabytes   = 64
	vmDescriptors = 500
)

// Limits of the router's settings, which the callers respect where a test says so.
const (
	maxHeadBytes = 16_384
	maxBodyBytes = 1 << 20
)

const (
	application = "balaton-bankett-quotes" // in examples.Jegvirag
	chatPath    = "/v1/chat/completions"
	plainPath   = "/services/order-desk/quotes"
	model       = "draft-large"
	// slowTokens tokens take the upstreams 2 s. Calls of plain services take plainDelay.
	tokenInterval = 100 * time.Millisecond
	slowTokens    = 20
	plainDelay    = 2 * time.Second
)

var build = sync.OnceValues(func() (string, error) { return processtest.Build("example.org/lagoonfork/cmd/lagoonfork") })

// system is one router process with its key-value service and upstreams.
type system struct {
	*processtest.Process
	t                          *testing.T
	callerAddress, peerAddress string
	key                        string
	plainServices              []*plainservice.Service
}

func newSystem(t *testing.T) *system {
	a, err := answers.Decode(examples.Jegvirag)
	require.NoError(t, err)
	keys, err := embedded.PlaintextKeys(examples.Jegvirag)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), processtest.Timeout)
	defer cancel()
	d, err := embedded.Start(ctx, embedded.Settings{
		Answers: a, Engine: engine.Settings{TokenInterval: tokenInterval}, Clock: time.Now, Log: hclog.NewNullLogger(),
	})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, d.Close(context.Background())) })
	require.NoError(t, d.CloseRouters(ctx), "the process takes the place of the deployment's own router")
	plainServices := slices.Collect(maps.Values(d.PlainServices))
	vms := httptest.NewServer(vmlist.New(vmlist.Settings{}))
	t.Cleanup(vms.Close)

	file := filepath.Join(t.TempDir(), "settings.json")
	s := &system{t: t, callerAddress: processtest.FreeAddress(t), peerAddress: processtest.FreeAddress(t), key: keys[application], plainServices: plainServices}
	s.setPlainFaults(plainservice.Faults{Delay: plainDelay})
	data, err := json.Marshal(map[string]any{
		"vm": "vm-0", "failureDomain": "z", "region": "r", "callerAddress": s.callerAddress, "peerAddress": s.peerAddress,
		"store": []string{d.GatewayAddress().String()}, "vmList": vms.Listener.Addr().String(), "peerSecret": embedded.Secret,
		"limits": map[string]any{
			"maxHeaderBytes": maxHeadBytes, "maxBodyBytes": maxBodyBytes, "memoryMegabytes": vmMegabytes, "descriptors": vmDescriptors,
		},
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, data, 0o600))
	program, err := build()
	require.NoError(t, err)
	s.Process = processtest.Run(t, program, "router", "--settings", file)
	s.requireServes()
	return s
}

// setPlainFaults sets the faults of all plain services.
func (s *system) setPlainFaults(f plainservice.Faults) {
	for _, p := range s.plainServices {
		p.SetFaults(f)
	}
}

// addresses returns the addresses of both endpoints by name.
func (s *system) addresses() map[string]string {
	return map[string]string{"callers": s.callerAddress, "peers": s.peerAddress}
}

// head returns the head of an ordinary request without the empty line at its end.
func (s *system) head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\n", method, path, s.key)
}

func (s *system) connect(address string, n int) []net.Conn {
	return processtest.Connect(s.t, address, n)
}

// fill returns start, as many repetitions of a text as fit into the maximum size of a body, and end.
func fill(start, repeated, end string) string {
	if repeated == "" {
		return start + end
	}
	return start + strings.Repeat(repeated, (maxBodyBytes-len(start)-len(end))/len(repeated)) + end
}

// call sends one ordinary request on a new connection and returns an error unless the response is
// the expected one.
func (s *system) call(prompt string) error {
	client := http.Client{Timeout: processtest.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":%q}]}`, model, prompt)
	r, err := http.NewRequest(http.MethodPost, "http://"+s.callerAddress+chatPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	response, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var completion wire.Completion
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || len(completion.Choices) != 1 || completion.Choices[0].Message.Content != engine.ExpectedAnswer(prompt, 1) {
		return fmt.Errorf("status %d, %v", response.StatusCode, completion)
	}
	return nil
}

// requireServes checks that an ordinary request is answered. A refusal is sent again, as an
// ordinary caller does.
func (s *system) requireServes() {
	s.t.Helper()
	var err error
	for end := time.Now().Add(processtest.Timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = s.call("hello"); err == nil {
			return
		}
	}
	require.NoError(s.t, err, "an ordinary request is not answered")
}

// check checks that the router is alive, within the resources of its VM, and serves an ordinary
// request.
func (s *system) check() {
	s.t.Helper()
	descriptors := s.Descriptors()
	s.requireServes()
	require.True(s.t, s.Runs(), "the router has ended")
	peak := s.PeakMegabytes()
	s.t.Logf("peak of resident memory %d MB, %d descriptors", peak, descriptors)
	assert.LessOrEqual(s.t, peak, vmMegabytes, "peak of resident memory in MB")
	assert.LessOrEqual(s.t, descriptors, vmDescriptors, "open descriptors")
}
