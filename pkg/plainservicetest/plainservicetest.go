// Package plainservicetest provides a conformance test suite for plain services.
//
// A service must repeat the X-Attempt-Id of a call in every response, and set
// X-Not-Run: true on a response with status 429 or 503 if it refused the call
// without executing it. The suite calls the service at its address over plain
// HTTP. The fault cases run only if the target can inject faults.
//
// # Usage
//
//	func TestService(t *testing.T) {
//		plainservicetest.Run(t, plainservicetest.Target{Address: address, Path: "/permits"})
//	}
package plainservicetest

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
)

// callTimeout is the timeout of each call of the suite.
const callTimeout = 30 * time.Second

// Fault is a failure that a target can inject into its service.
type Fault string

// Faults.
const (
	// FaultNotRun makes the service refuse calls without executing them.
	FaultNotRun Fault = "not run"
	// FaultDropBefore makes it drop the connection without executing the call.
	FaultDropBefore Fault = "dropped before execution"
	// FaultDropAfter makes it execute the call and drop the connection.
	FaultDropAfter Fault = "dropped after execution"
	// FaultDropWithin makes it execute the call and drop the connection in the
	// middle of the response.
	FaultDropWithin Fault = "dropped within the response"
)

// Target is a service under test.
type Target struct {
	Address netip.AddrPort
	// Path is the path of a call that the service executes.
	Path string
	// ReportsLoad reports whether the service implements the load endpoint.
	ReportsLoad bool
	// Executions returns how often a request was executed. If it is nil, the
	// number of executions is not checked.
	Executions func(ident.Request) int
	// Inject injects a fault and returns a function that ends it. If it is nil,
	// the fault cases are skipped.
	Inject func(t *testing.T, f Fault) (end func())
}

// Run runs the suite against target.
func Run(t *testing.T, target Target) {
	s := &suite{Target: target, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Run("calls", s.calls)
	if target.ReportsLoad {
		t.Run("load", s.load)
	}
	if target.Inject != nil {
		t.Run("faults", s.faults)
	}
}

type suite struct {
	Target
	client *http.Client
	count  int
}

// call sends a new request and checks that the response repeats its attempt
// identifier.
func (s *suite) call(t *testing.T, method string) (*http.Response, ident.Request, error) {
	t.Helper()
	s.count++
	request := ident.Request(fmt.Sprintf("request-%d", s.count))
	attempt := fmt.Sprintf("attempt-%d", s.count)
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Address.String()+s.Path, strings.NewReader("{}"))
	require.NoError(t, err)
	r.Header.Set(engine.HeaderRequest, string(request))
	r.Header.Set(engine.HeaderAttempt, attempt)
	response, err := s.client.Do(r)
	if err == nil {
		t.Cleanup(func() { _ = response.Body.Close() })
		assert.Equal(t, attempt, response.Header.Get(engine.HeaderAttempt), "attempt in the response")
	}
	return response, request, err
}

func (s *suite) requireExecutions(t *testing.T, n int, request ident.Request) {
	t.Helper()
	if s.Executions != nil {
		require.Equal(t, n, s.Executions(request), "executions")
	}
}

func (s *suite) calls(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			response, request, err := s.call(t, method)
			require.NoError(t, err)
			assert.Less(t, response.StatusCode, 500)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			s.requireExecutions(t, 1, request)
		})
	}
}

func (s *suite) load(t *testing.T) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address.String()+engine.PathLoad, nil)
	require.NoError(t, err)
	response, err := s.client.Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	l, err := engine.DecodeLoad(response.Body)
	require.NoError(t, err)
	assert.False(t, l.AsOf.IsZero())
}

func (s *suite) faults(t *testing.T) {
	tests := []struct {
		fault      Fault
		answered   bool
		executions int
	}{
		{FaultNotRun, true, 0},
		{FaultDropBefore, false, 0},
		{FaultDropAfter, false, 1},
		{FaultDropWithin, false, 1},
	}
	for _, test := range tests {
		t.Run(string(test.fault), func(t *testing.T) {
			end := s.Inject(t, test.fault)
			response, request, err := s.call(t, http.MethodPost)
			if err == nil && !test.answered {
				_, err = io.Copy(io.Discard, response.Body)
			}
			end()
			s.requireExecutions(t, test.executions, request)
			if !test.answered {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			assert.Contains(t, []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}, response.StatusCode)
			assert.Equal(t, "true", response.Header.Get(engine.HeaderNotRun))
		})
	}
}
