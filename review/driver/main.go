//go:build review

// Command driver plays the scripted cases of the review. It starts routers as separate
// processes, and serves the stand-ins for the store, the workers and the clients itself.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/platform/standin"
)

// Exit statuses of a case.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(statusCannotRun)
	}
	cases := map[string]func(*system) (broken bool, err error){
		"lost-relay":     lostRelay,
		"silent-store":   silentStore,
		"worker-release": workerRelease,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "driver: no such case")
		os.Exit(statusCannotRun)
	}
	os.Exit(play(run, os.Args[2]))
}

// play runs a case in a temporary folder and returns its exit status.
func play(run func(*system) (bool, error), recordFile string) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return statusCannotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return statusCannotRun
	}
	defer os.RemoveAll(dir)
	s := &system{dir: dir, record: file, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0",
		service: keyvalue.New(keyvalue.Settings{Clock: time.Now}), runs: make(map[string][]workerRun)}
	defer s.stop()
	broken, err := run(s)
	switch {
	case err != nil:
		s.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "driver:", err)
		return statusCannotRun
	case broken:
		s.logf("result: the rule was broken")
		return statusBroken
	}
	s.logf("result: the rule held")
	return statusHeld
}

// system is the system under test with its stand-ins.
type system struct {
	dir     string
	trouble bool
	start   time.Time
	service *keyvalue.Service

	descriptors  int // limit of a router, or 0
	storeAddress string
	routers      []*router
	servers      []*http.Server
	workers      int // started so far

	mu     sync.Mutex
	record io.Writer
	runs   map[string][]workerRun // by request
}

// workerRun is one run of a request at a worker.
type workerRun struct {
	worker, tenant string
	at             time.Time
}

// logf writes a line with the time since the start to the record.
func (s *system) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f ", time.Since(s.start).Seconds())
	fmt.Fprintf(s.record, format+"\n", args...)
}

// runsOf returns the runs of a request.
func (s *system) runsOf(id string) []workerRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *system) since(t time.Time) float64 { return t.Sub(s.start).Seconds() }

// serve serves a handler on a free loopback port and returns its address.
func (s *system) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go server.Serve(l)
	return l.Addr().String(), nil
}

// startStore starts the stand-in for the platform's store.
func (s *system) startStore() (err error) {
	s.storeAddress, err = s.serve(standin.New(s.service.Client()))
	return err
}

func (s *system) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.service.Client().Put(context.Background(), key, data, store.Always, store.NoLease)
	return err
}

// always is the condition of a write that always holds.
var always = store.Always

type object = map[string]any

// stop ends all processes and servers.
func (s *system) stop() {
	for _, r := range s.routers {
		r.kill()
	}
	for _, server := range s.servers {
		server.Close()
	}
}

// router is the process of one machine.
type router struct {
	name, zone          string
	caller, ready, peer string
	store               *proxy
	settings            string
	descriptors         int // limit, or 0
	command             *exec.Cmd
	log                 *os.File
	exited              chan struct{}
}

// zones of the nine machines, as on the small sites.
var machineZones = []string{"a", "a", "a", "a", "b", "b", "b", "c", "c"}

// startRouters starts n routers, each of which reaches the store through a proxy.
func (s *system) startRouters(n int) error {
	ports, err := freePorts(3 * n)
	if err != nil {
		return err
	}
	perZone := map[string]int{}
	seeds := []string{}
	seeded := map[string]bool{}
	for i := range n {
		zone := machineZones[i%len(machineZones)]
		perZone[zone]++
		p, err := newProxy(s.storeAddress)
		if err != nil {
			return err
		}
		r := &router{name: fmt.Sprintf("front-%s-%d", zone, perZone[zone]), zone: zone,
			caller: ports[3*i], ready: ports[3*i+1], peer: ports[3*i+2], store: p}
		if !seeded[zone] {
			seeded[zone] = true
			seeds = append(seeds, r.peer)
		}
		s.routers = append(s.routers, r)
	}
	for _, r := range s.routers {
		// The fields are those of deploy/settings.json.tmpl with the figures of a small site.
		data, err := json.Marshal(object{
			"vm": r.name, "failureDomain": r.zone, "region": "r",
			"callerAddress": r.caller, "readyAddress": r.ready, "readyPath": "/api/ready", "peerAddress": r.peer,
			"seeds": seeds, "store": r.store.address(), "log": object{"level": "info", "form": "json"},
			"repeats":        object{"ratio": 0.2, "slack": 58, "windowSeconds": 10},
			"processorShare": 0.4, "linkMegabits": 1000.0, "drainTimeoutSeconds": 8,
		})
		if err != nil {
			return err
		}
		r.settings = filepath.Join(s.dir, r.name+".json")
		if err := os.WriteFile(r.settings, data, 0o600); err != nil {
			return err
		}
		if r.log, err = os.Create(filepath.Join(s.dir, r.name+".log")); err != nil {
			return err
		}
		r.descriptors = s.descriptors
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range s.routers {
		if err := r.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the program with the command of the deploy file.
func (r *router) start() error {
	r.command = exec.Command("target/front", "serve")
	if r.descriptors > 0 {
		r.command = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/front serve", r.descriptors))
	}
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "LAGOONFORK_SETTINGS=" + r.settings}
	r.command.Stdout, r.command.Stderr = r.log, r.log
	if err := r.command.Start(); err != nil {
		return err
	}
	r.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		c.Wait()
		close(exited)
	}(r.command, r.exited)
	return nil
}

func (r *router) signal(sig syscall.Signal) { r.command.Process.Signal(sig) }

func (r *router) kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	r.command.Process.Kill()
	<-r.exited
}

func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", r.name, limit)
}

// freePorts returns free loopback addresses.
func freePorts(n int) (all []string, err error) {
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		all = append(all, l.Addr().String())
	}
	for _, l := range listeners {
		l.Close()
	}
	return all, nil
}

// worker is a stand-in for a worker of a service that is no engine.
type worker struct {
	system               *system
	id, service, address string
	zone                 string
	work                 time.Duration
	born                 time.Time
	server               *http.Server
}

// startWorkers starts workers of a service and registers them.
func (s *system) startWorkers(service string, n int, work time.Duration) error {
	for range n {
		if _, err := s.startWorker(service, work); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts a worker of a service and registers it.
func (s *system) startWorker(service string, work time.Duration) (*worker, error) {
	w := &worker{system: s, id: fmt.Sprintf("i-%s-%d", service, s.workers), service: service, work: work, born: time.Now(),
		zone: machineZones[(4*s.workers)%len(machineZones)]}
	s.workers++
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w}
	s.servers = append(s.servers, w.server)
	go w.server.Serve(l)
	return w, s.put("servers/"+w.id, w.entry("ready", 1))
}

// entry returns the worker's entry in the store.
func (w *worker) entry(state string, seq int) object {
	return object{"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1",
		"slots": 6, "state": state, "coldLeftMs": 0, "seq": seq, "born": w.born.UnixMilli()}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.system.mu.Lock()
	w.system.runs[id] = append(w.system.runs[id], workerRun{worker: w.id, tenant: r.Header.Get("X-Tenant"), at: time.Now()})
	w.system.mu.Unlock()
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("X-Server-Seal", "seal."+w.id)
	fmt.Fprintf(rw, "answer to %s", id)
}

// attempt is one request of a client and its answer.
type attempt struct {
	id, router, key string
	sent            time.Time
	status          int // 0 if there was no answer
	err             error
}

// client sends requests to one machine over kept connections.
type client struct {
	system *system
	router *router
	http   *http.Client
	prefix string
	n      int
}

func (s *system) newClient(r *router, prefix string) *client {
	return &client{system: s, router: r, prefix: prefix, http: &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}}
}

// send sends a request to the path with the key.
func (c *client) send(method, path, key string) attempt {
	c.n++
	a := attempt{id: fmt.Sprintf("%s-%d", c.prefix, c.n), router: c.router.name, key: key, sent: time.Now()}
	body := io.Reader(http.NoBody)
	if method == http.MethodPost {
		body = strings.NewReader("body of " + a.id)
	}
	request, err := http.NewRequest(method, "http://"+c.router.caller+path, body)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "register.example"
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := c.http.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		a.err = err
		return a
	}
	a.status = response.StatusCode
	return a
}

func sortBySent(all []attempt) {
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
}
