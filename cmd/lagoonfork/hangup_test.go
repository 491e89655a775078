package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/embedded"
	"example.org/lagoonfork/internal/fake/vmlist"
)

// programVariable is set for processes of this test binary that run the program instead of the tests.
const programVariable = "LAGOONFORK_TEST_RUN_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is the router of a fleet in a process of its own.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log chan map[string]any // closed when the process has ended
}

// startProcess starts the program with a settings file.
func startProcess(t *testing.T, file string) *process {
	p := &process{t: t, cmd: exec.Command(os.Args[0], "router", "--settings", file), log: make(chan map[string]any, 1000)}
	p.cmd.Env = append(os.Environ(), programVariable+"=1")
	stderr, err := p.cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	go func() {
		defer close(p.log)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			var line map[string]any
			if json.Unmarshal(lines.Bytes(), &line) == nil {
				p.log <- line
			}
		}
	}()
	return p
}

// await returns the next log line of an event.
func (p *process) await(number float64) map[string]any {
	timeout := time.After(testTimeout)
	for {
		select {
		case line, ok := <-p.log:
			require.True(p.t, ok, "the process ended before event %v", number)
			if line["event"] == number {
				return line
			}
		case <-timeout:
			require.Fail(p.t, "timeout", "no event %v", number)
		}
	}
}

// TestHangupEndsNoRequest guards against a router that ends at SIGHUP, and its requests with it.
// The settings are checked.
func TestHangupEndsNoRequest(t *testing.T) {
	f := startFleet(t, 1)
	vms := httptest.NewServer(vmlist.New(vmlist.Settings{Clock: time.Now}))
	t.Cleanup(vms.Close)
	settings := fmt.Appendf(nil, `{"vm":"vm-9","callerAddress":"127.0.0.1:0","peerAddress":"127.0.0.1:0","failureDomain":"a","region":"r",
		"store":[%q],"vmList":%q,"peerSecret":%q,"log":{"form":"json"}}`, f.GatewayAddress(), strings.TrimPrefix(vms.URL, "http://"), embedded.Secret)
	file := f.write(t, "router.json", settings)
	p := startProcess(t, file)
	ready := p.await(103)

	c, err := net.Dial("tcp", ready["callers"].(string))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, "GET /readyz HTTP/1.1\r\n")
	require.NoError(t, err)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	assert.Nil(t, p.await(144)["error"])
	f.write(t, "router.json", []byte(`{"vm":""}`))
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP))
	assert.Contains(t, p.await(144)["error"], file)
	_, err = io.WriteString(c, "Host: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)

	require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	p.await(104)
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGHUP), "while it drains")
	p.await(105)
	for range p.log { // until the process has closed its output
	}
	assert.NoError(t, p.cmd.Wait())
}
