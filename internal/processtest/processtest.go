// Package processtest runs the edge router as processes, for tests that observe it from outside.
//
// # Usage
//
//	address := processtest.FreeAddress(t)
//	r := processtest.Start(t, processtest.Settings{VM: "vm-0", Store: storeAddress, PeerAddress: address, Seed: address})
//	r.WaitReady()
//	r.Restart(syscall.SIGKILL)
package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	_ "example.org/lagoonfork/internal/edge" // the go command keeps results of tests until an imported package changes
)

// Timeout is longer than any operation of a healthy process takes.
const Timeout = time.Minute

// program is the package of the router.
const program = "example.org/lagoonfork/platform/front"

// build builds the router once for all tests of a process.
var build = sync.OnceValues(func() (string, error) { return Build(program) })

// Settings configures a Router. All fields but SecondProgram, FirstProgram and the resources are
// required.
type Settings struct {
	VM string
	// Store is the address of the store. Seed is that of the router that others ask first.
	Store, PeerAddress, Seed string
	// SecondProgram is the path of the router of another release, which is used in turn with
	// this one. FirstProgram is odd if it is used first.
	SecondProgram string
	FirstProgram  int
	// Resources of the VM; 0 means that they are not limited.
	MemoryMegabytes, Descriptors int
	// Processors is the number of threads of the process that run Go code at a time, GOMAXPROCS; 0
	// means the default.
	Processors int
}

// Router is one VM, which runs one router process after another. It must not be used by more than
// one goroutine at a time.
type Router struct {
	*Process
	CallerAddress, ReadyAddress, PeerAddress string

	programs    []string // executables, used in turn at each start
	nextProgram int
	settings    string // file
}

// Start starts a router. Its last process is killed at the end of the test.
func Start(t *testing.T, s Settings) *Router {
	t.Helper()
	first, err := build()
	require.NoError(t, err)
	r := &Router{
		Process: newProcess(t), programs: []string{first}, nextProgram: s.FirstProgram, settings: filepath.Join(t.TempDir(), "settings.json"),
		CallerAddress: FreeAddress(t), ReadyAddress: FreeAddress(t), PeerAddress: s.PeerAddress,
	}
	if s.Processors > 0 {
		r.environment = []string{fmt.Sprint("GOMAXPROCS=", s.Processors)}
	}
	if s.SecondProgram != "" {
		r.programs = append(r.programs, s.SecondProgram)
	}
	file, err := json.Marshal(map[string]any{
		"vm": s.VM, "failureDomain": "z", "region": "r", "callerAddress": r.CallerAddress, "readyAddress": r.ReadyAddress, "readyPath": "/api/ready",
		"peerAddress": s.PeerAddress, "seeds": []string{s.Seed}, "store": s.Store, "log": map[string]any{"level": "info", "form": "json"},
		"repeats":             map[string]any{"ratio": 0.2, "slack": 20, "windowSeconds": 10},
		"drainTimeoutSeconds": 8, "memoryMegabytes": s.MemoryMegabytes, "descriptors": s.Descriptors,
	})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(r.settings, file, 0o600))
	r.start()
	return r
}

func (r *Router) start() {
	program := r.programs[r.nextProgram%len(r.programs)]
	r.nextProgram++
	r.run(program, "serve", "--settings", r.settings)
}

// Restart stops the process with a signal and starts the next one.
func (r *Router) Restart(s syscall.Signal) {
	r.Stop(s)
	r.start()
}

// startedEvent appears in the log of a process once it serves.
const startedEvent = `"edge router started"`

// Stop stops the process with a signal and waits for it. After SIGTERM, a process that
// serves must exit with status 0 or report what it could not finish because of the
// store. A process that does not serve yet may be terminated by the signal.
func (r *Router) Stop(s syscall.Signal) {
	r.Signal(s)
	<-r.exited
	if log := string(r.log.Bytes()[r.logStart:]); s == syscall.SIGTERM && r.err != nil && strings.Contains(log, startedEvent) {
		assert.Contains(r.t, log, "front: stopping the edge router: ", "%v", r.err)
	}
}

// WaitReady waits until the router reports that it is ready.
func (r *Router) WaitReady() {
	r.t.Helper()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	require.Eventually(r.t, func() bool {
		response, err := client.Get("http://" + r.ReadyAddress + "/api/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, Timeout, 10*time.Millisecond)
}
