//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/platform/standin"
)

// contact is contactMs of the site.
const contact = 3 * time.Second

// plentyConfiguration has a tenant with more prepaid tokens than a case uses.
const plentyConfiguration = `{"version":1,"routes":[
 {"name":"r","host":"site.example","prefix":"/dossier/","kind":"stream","timeoutMs":10000,"goalMs":800,"gapAimMs":300,"priority":1,"service":"llm","attempts":2,"canResume":true},
 {"name":"p","host":"site.example","prefix":"/permit/","kind":"unsafe","timeoutMs":800,"goalMs":300,"priority":2,"service":"app","attempts":1}],
 "services":[{"name":"llm","maxConns":370,"engine":{"slots":64,"stride":4}},{"name":"app","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000},
 "tenants":[{"name":"one","apiKeys":["key-one"],"prepaid":1000000000}]}`

// errCannotRun reports that a case could not be played.
var errCannotRun = errors.New("the case cannot run")

// stage is a small deployment: the platform's store, routers and workers. All addresses are
// loopback ones.
type stage struct {
	trouble bool
	dir     string // temporary
	service *keyvalue.Service
	backend *keyvalue.Client // of the routers; faults are injected here
	store   string           // address
	server  *httptest.Server
	fronts  []*front
	begin   time.Time
	oneZone bool // all routers are in one zone

	mu     sync.Mutex
	record *os.File
	closed bool
}

// newStage opens the record of a case in the directory and starts the store.
func newStage(caseDir string) (*stage, error) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &stage{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: record, begin: time.Now(),
		service: keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now}),
	}
	s.backend = s.service.Client()
	s.server = httptest.NewServer(standin.New(s.backend))
	s.store = s.server.Listener.Addr().String()
	return s, nil
}

// close ends all processes and removes the temporary directory.
func (s *stage) close() {
	for _, f := range s.fronts {
		f.kill()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	_ = os.RemoveAll(s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.record.Close()
}

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.begin).Seconds(), fmt.Sprintf(format, args...))
	}
}

// put writes an entry of the operator or of a worker to the store.
func (s *stage) put(key, value string) {
	if _, err := s.service.Client().Put(context.Background(), key, []byte(value), store.Always, store.NoLease); err != nil {
		s.note("writing %s: %v", key, err)
	}
}

// remove deletes an entry.
func (s *stage) remove(key string) {
	if err := s.service.Client().Delete(context.Background(), key, store.Always); err != nil {
		s.note("deleting %s: %v", key, err)
	}
}

// front is the router of one machine.
type front struct {
	name                 string
	address, ready, peer string
	settings             string
	root, log            string
	command              *exec.Cmd
	exited               chan struct{}
}

// nextPort counts the ports that freeAddress has looked at. They are below the range that systems use for
// outgoing connections, so that none is taken while a process is down.
var nextPort atomic.Int64

// zone returns the zone of a router.
func (s *stage) zone(n int) string {
	if s.oneZone {
		return "zone-0"
	}
	return fmt.Sprintf("zone-%d", n%3)
}

// freeAddress returns a loopback address that is free.
func freeAddress() string {
	const firstPort, ports = 20_000, 10_000
	offset := int64(os.Getpid() % 97 * 100)
	for range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+(offset+nextPort.Add(1))%ports))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	return ""
}

// startFronts starts n routers in three zones, with the settings that the template of the deploy
// file makes from those of a small deployment.
func (s *stage) startFronts(root string, n int) error {
	seed := freeAddress()
	for i := range n {
		f := &front{
			name: fmt.Sprintf("front-%d", i), address: freeAddress(), ready: freeAddress(), peer: freeAddress(),
			root: root, settings: filepath.Join(s.dir, fmt.Sprintf("settings-%d.json", i)), log: filepath.Join(s.dir, fmt.Sprintf("front-%d.log", i)),
		}
		if i == 0 {
			f.peer = seed
		}
		data, err := json.Marshal(map[string]any{
			"vm": f.name, "failureDomain": s.zone(i), "region": "region",
			"callerAddress": f.address, "readyAddress": f.ready, "readyPath": "/api/ready", "peerAddress": f.peer,
			"seeds": []string{seed}, "store": s.store, "log": map[string]any{"level": "info", "form": "json"},
			"repeats":        map[string]any{"ratio": 0.2, "slack": 58, "windowSeconds": 10},
			"processorShare": 0.4, "linkMegabits": 1000, "warmUp": map[string]any{"factor": 1.5, "slack": 5},
			"memoryMegabytes": 134, "descriptors": 4100, "drainTimeoutSeconds": 8,
		})
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.settings, data, 0o600); err != nil {
			return err
		}
		if err := f.start(); err != nil {
			return err
		}
		s.fronts = append(s.fronts, f)
	}
	for _, f := range s.fronts {
		if !f.waitReady(15 * time.Second) {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, f.name)
		}
	}
	return nil
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	log, err := os.OpenFile(f.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.command = exec.Command("target/front", "serve")
	f.command.Dir = f.root
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LAGOONFORK_SETTINGS=" + f.settings}
	f.command.Stdout, f.command.Stderr = log, log
	if err := f.command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	f.exited = make(chan struct{})
	exited, command := f.exited, f.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// running reports whether the process has not ended.
func (f *front) running() bool {
	select {
	case <-f.exited:
		return false
	default:
		return true
	}
}

// kill ends the process and waits for it.
func (f *front) kill() {
	_ = f.command.Process.Signal(syscall.SIGKILL)
	<-f.exited
}

// waitReady waits until the router says that it is ready.
func (f *front) waitReady(limit time.Duration) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + f.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
