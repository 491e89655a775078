//go:build review

package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"example.org/lagoonfork/internal/membership"
	"example.org/lagoonfork/pkg/ident"
)

const (
	smallDrain = 2 * time.Second // drainMs of the small sites
	// permitWork is the work of a permit, and permitClients the number of clients that
	// send one after the other.
	permitWork    = 60 * time.Millisecond
	permitClients = 20
	// replaceGap is the time between two replacements of workers (release: gap_s).
	replaceGap = time.Second
	// servesOn is how long a worker serves after its entry has been removed.
	servesOn = smallDrain + 4*time.Second
	// replacing is how long workers are replaced.
	replacing = 16 * time.Second
)

// lostRelay: one of two machines of a zone does not respond any more, while workers are
// replaced one after the other. Every second one of these reports nothing before its entry
// is removed.
func lostRelay(s *system) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.put("op/config", registerConfiguration(3, "kept-key")); err != nil {
		return false, err
	}
	var running []*worker
	for range 6 {
		w, err := s.startWorker("register", permitWork)
		if err != nil {
			return false, err
		}
		running = append(running, w)
	}
	if err := s.startRouters(2); err != nil {
		return false, err
	}
	lost, remaining := s.routers[0], s.routers[1]
	if s.readsFirst("upstreams") == remaining.name {
		lost, remaining = remaining, lost
	}
	time.Sleep(5 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients, leaving sync.WaitGroup
	for n := range permitClients {
		c := s.newClient(remaining, fmt.Sprintf("c%d", n))
		clients.Add(1)
		go func() {
			defer clients.Done()
			for ctx.Err() == nil {
				a := c.send(http.MethodPost, "/permit/x", "kept-key")
				s.logf("request %s sent at %.3f to %s: status %d, error %v", a.id, s.since(a.sent), a.router, a.status, a.err)
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		lost.signal(syscall.SIGSTOP)
		s.logf("%s does not respond any more", lost.name)
	}
	removed := make(map[string]time.Time)
	begin := time.Now()
	for n := 0; time.Since(begin) < replacing; n++ {
		w, err := s.startWorker("register", permitWork)
		if err != nil {
			return false, err
		}
		running = append(running, w)
		w, running = running[0], running[1:]
		silent := n%2 == 0
		if silent {
			s.delete("servers/" + w.id)
		} else if err := s.put("servers/"+w.id, w.entry("draining", 2)); err != nil {
			return false, err
		}
		removed[w.id] = time.Now()
		s.logf("the store acknowledges that %s leaves, reported before: %v", w.id, !silent)
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			time.Sleep(servesOn)
			s.delete("servers/" + w.id)
			w.server.Close()
		}()
		time.Sleep(replaceGap)
	}
	leaving.Wait()
	stop()
	clients.Wait()

	late := 0
	s.mu.Lock()
	all := maps.Clone(s.runs)
	s.mu.Unlock()
	for id, runs := range all {
		for _, r := range runs {
			left, ok := removed[r.worker]
			if after := r.at.Sub(left); ok && after > smallDrain {
				late++
				s.logf("request %s reached %s at %.3f, %.3f s after its leaving was acknowledged", id, r.worker, s.since(r.at), after.Seconds())
			}
		}
	}
	fmt.Printf("%d requests reached a worker later than %v after its leaving was acknowledged\n", late, smallDrain)
	return late > 0, nil
}

// readsFirst returns the name of the router that reads the named mirror for the others.
func (s *system) readsFirst(mirror string) string {
	var records []membership.Record
	for _, r := range s.routers {
		records = append(records, membership.Record{VM: ident.VM(r.name), FailureDomain: ident.FailureDomain(r.zone)})
	}
	first := membership.Ranked(mirror, records)[0]
	return string(records[slices.IndexFunc(records, func(r membership.Record) bool { return r.VM == first.VM })].VM)
}
