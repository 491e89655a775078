package processtest

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Build builds a program of this module and returns the path of the executable.
func Build(program string) (file string, err error) {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		return "", err
	}
	file = filepath.Join(dir, filepath.Base(program))
	out, err := exec.Command("go", "build", "-o", file, program).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
}

// Process runs a program, or several one after another. It must not be used by more than one
// goroutine at a time.
type Process struct {
	t           *testing.T
	environment []string // variables in addition to those of the test
	command     *exec.Cmd
	exited      chan struct{} // closed once the process has ended
	err         error         // of the process, valid once it has ended
	log         bytes.Buffer  // output of all processes, one after another
	logStart    int           // offset in log of the last process's output
}

// Run starts a program. The process is killed at the end of the test.
func Run(t *testing.T, file string, args ...string) *Process {
	p := newProcess(t)
	p.run(file, args...)
	return p
}

// newProcess returns a Process that has not been started.
func newProcess(t *testing.T) *Process { return &Process{t: t} }

// run starts the next process. The last one is killed at the end of the test.
func (p *Process) run(file string, args ...string) {
	if p.command == nil {
		p.t.Cleanup(p.kill)
	}
	p.command = exec.Command(file, args...)
	p.command.Env = append(os.Environ(), p.environment...)
	p.command.Stdout, p.command.Stderr = &p.log, &p.log
	p.logStart = p.log.Len()
	exited := make(chan struct{})
	p.exited = exited
	if !assert.NoError(p.t, p.command.Start()) {
		close(exited)
		return
	}
	command := p.command
	go func() {
		p.err = command.Wait()
		close(exited)
	}()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	assert.NoError(p.t, p.command.Process.Signal(s))
}

// kill kills the last process, whatever state it is in. If the test has failed, it
// writes the log to a file.
func (p *Process) kill() {
	if p.command.Process == nil {
		return // it could not be started
	}
	_ = p.command.Process.Kill()
	<-p.exited
	if p.t.Failed() {
		file := filepath.Join(os.TempDir(), strings.ReplaceAll(p.t.Name(), "/", "-")+fmt.Sprintf("-%d.log", p.command.Process.Pid))
		p.t.Logf("log of the process: %s", file)
		_ = os.WriteFile(file, p.log.Bytes(), 0o600)
	}
}

// Log returns the output of all processes. The last one must have been stopped.
func (p *Process) Log() string { return p.log.String() }

// Runs reports whether the process has not ended.
func (p *Process) Runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Descriptors returns the number of open descriptors of the process.
func (p *Process) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	require.NoError(p.t, err)
	return len(entries)
}

// PeakMegabytes returns the peak of the resident memory of the process.
func (p *Process) PeakMegabytes() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			require.NoError(p.t, err)
			return kilobytes * 1024 / 1_000_000
		}
	}
	require.Fail(p.t, "no peak of resident memory")
	return 0
}

// loopbackIP returns the loopback address on which this process's routers listen. It is
// derived from the process ID, so that other tests on the machine use other addresses.
// On systems with a single loopback address it is 127.0.0.1.
var loopbackIP = sync.OnceValue(func() string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()>>16%250, os.Getpid()>>8%256, 1+os.Getpid()%250)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	_ = l.Close()
	return ip
})

// portCounter counts the ports given to routers. The ports are below the range that
// systems use for outgoing connections, so that none is taken before the router
// listens or while it restarts.
var portCounter atomic.Int64

// FreeAddress returns an address for a router to listen on.
func FreeAddress(t *testing.T) string {
	t.Helper()
	const firstPort, ports = 20_000, 10_000
	for range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopbackIP(), firstPort+portCounter.Add(1)%ports))
		if err == nil {
			require.NoError(t, l.Close())
			return l.Addr().String()
		}
	}
	require.Fail(t, "no port is free")
	return ""
}
