//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/pkg/store"
	"example.org/lagoonfork/platform/standin"
)

// Bounds of the small deployment vezove-hodiny.
const (
	contact     = 3 * time.Second
	retryRatio  = 0.2
	retrySlack  = 58
	retryWindow = 10 * time.Second
	heartbeat   = 1200 * time.Millisecond
	silence     = 3 * heartbeat // after which the record of a worker is removed
)

// host is the host of all routes.
const host = "front.example"

var zones = []string{"sk-central-a", "sk-central-b", "sk-central-c"}

// fleet is the platform's store with the routers in front of it.
type fleet struct {
	*record
	program string
	dir     string // temporary
	service *keyvalue.Service
	client  store.Store
	server  *http.Server
	address string // of the store
	version int64  // of the configuration

	mu      sync.Mutex
	routers []*router
	workers []*worker
}

func newFleet(program string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	service := keyvalue.New(keyvalue.Settings{Seed: 1, Clock: time.Now})
	f := &fleet{record: r, program: program, dir: dir, service: service, client: service.Client(), address: l.Addr().String()}
	f.server = &http.Server{Handler: standin.New(service.Client())}
	go func() { _ = f.server.Serve(l) }() // ends with close
	return f, nil
}

// close ends all processes and stand-ins. It may be called several times.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.routers {
		r.kill()
	}
	for _, w := range f.workers {
		w.close()
	}
	_ = f.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// configure writes the next version of the configuration.
func (f *fleet) configure(c map[string]any) error {
	f.version += 3
	c["version"] = f.version
	c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = f.client.Put(context.Background(), "op/config", data, store.Always, store.NoLease)
	f.printf("the operator writes version %d", f.version)
	return err
}

// router is one process of the program under review.
type router struct {
	vm, zone             string
	caller, ready, peers string
	fleet                *fleet
	command              *exec.Cmd
	exited               chan struct{}
}

// startRouters starts n routers that are spread over the zones, with the settings that the template
// of the deploy file gives for the small deployment, and waits until they are ready.
func (f *fleet) startRouters(n int) error {
	var seeds []string
	for i := range n {
		r := &router{vm: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], fleet: f}
		for _, a := range []*string{&r.caller, &r.ready, &r.peers} {
			address, err := freeAddress()
			if err != nil {
				return err
			}
			*a = address
		}
		if len(seeds) < 3 {
			seeds = append(seeds, r.peers)
		}
		f.routers = append(f.routers, r)
	}
	for _, r := range f.routers {
		if err := r.writeSettings(seeds); err != nil {
			return err
		}
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	f.printf("%d routers are ready", n)
	return nil
}

// Ports are taken from below the range that systems use for outgoing connections, so that none is
// used by one before its process listens on it.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + rand.IntN(lastPort-firstPort)

var errNoPort = errors.New("no free port")

// freeAddress returns an address that nothing listens on, and another one each time. It must not be
// called by several goroutines at a time.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errNoPort
}

func (r *router) settings() string { return filepath.Join(r.fleet.dir, r.vm+".json") }

func (r *router) writeSettings(seeds []string) error {
	data, err := json.Marshal(map[string]any{
		"vm": r.vm, "failureDomain": r.zone, "region": "sk-central",
		"callerAddress": r.caller, "readyAddress": r.ready, "readyPath": "/api/ready", "peerAddress": r.peers,
		"seeds": seeds, "store": r.fleet.address,
		"log":            map[string]any{"level": "info", "form": "json"},
		"repeats":        map[string]any{"ratio": retryRatio, "slack": retrySlack, "windowSeconds": retryWindow.Seconds()},
		"processorShare": 0.4, "linkMegabits": 1000.0,
		"warmUp":          map[string]any{"factor": 1.5, "slack": 5},
		"memoryMegabytes": 134, "descriptors": 4100, "drainTimeoutSeconds": 8,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings(), data, 0o600)
}

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	log, err := os.OpenFile(filepath.Join(r.fleet.dir, r.vm+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.command = exec.Command(r.fleet.program, "serve")
	r.command.Env = append(os.Environ(), "LAGOONFORK_SETTINGS="+r.settings())
	r.command.Stdout, r.command.Stderr = log, log
	if err := r.command.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	r.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // the status of a process that is killed says nothing
		_ = log.Close()
		close(exited)
	}(r.command, r.exited)
	return nil
}

func (r *router) kill() {
	if r.command == nil || r.command.Process == nil {
		return
	}
	_ = r.command.Process.Kill() // it may have ended
	<-r.exited
}

var errNotReady = errors.New("a router is not ready after 20 s")

func (r *router) awaitReady() error {
	for range 200 {
		if response, err := http.Get("http://" + r.ready + "/api/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errNotReady
}
