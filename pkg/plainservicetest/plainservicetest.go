// Package plainservicetest holds the contract that every plain service keeps
// towards the router.
//
// A service repeats the X-Attempt-Id of a call in its response, whatever the
// response, and says with X-Not-Run: true on a status 429 or 503 that it
// refused a call without executing it. The suite talks to a service at an
// address over plain HTTP. Fault cases run if the target can bring faults
// about.
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

// callTimeout bounds each call of the suite.
const callTimeout = 30 * time.Second

// Fault is a state into which a target can bring its service.
type Fault string

// Faults.
const (
	// FaultNotRun makes the service refuse calls without executing them.
	FaultNotRun Fault = "not run"
	// FaultDropBefore makes it drop the connection without executing the call.
	FaultDropBefore Fault = "dropped before execution"
	// FaultDropAfter makes it execute the call and drop the connection.
	FaultDropAfter Fault = "dropped after execution"
	// FaultDropWithin makes it execute the call and drop the connection within
	// the response.
	FaultDropWithin Fault = "dropped within the response"
)

// Target is a service under test.
type Target struct {
	Address netip.AddrPort
	// Path is that of a call that the service executes.
	Path string
	// ReportsLoad tells whether the service reports its load.
	ReportsLoad bool
	// Executions returns how often a request was executed. It may be nil.
	Executions func(ident.Request) int
	// Inject brings a fault about and returns a function that ends it. It may
	// be nil.
	Inject func(t *testing.T, f Fault) (end func())
}

// Run runs the suite.
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

// call sends a new request.
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
