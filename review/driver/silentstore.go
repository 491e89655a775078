//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the site vezove-hodiny.
const (
	contact     = 3 * time.Second // contactMs
	configApply = 2 * time.Second // configApplyMs
)

const (
	// warmUp is the time between the start of the machines and that of the traffic.
	warmUp = 3 * time.Second
	// trafficBefore is how long traffic runs before the connections go silent.
	trafficBefore = 2 * time.Second
	// changeDelay is the time from there to the change of the configuration.
	changeDelay = 500 * time.Millisecond
	// observed is how long requests with the dropped key are sent after the change.
	observed = 10 * time.Second
)

// registerConfiguration returns a configuration in which the tenant parish has the keys.
func registerConfiguration(version int, keys ...string) object {
	return object{"version": version,
		"routes": []object{
			{"name": "question", "host": "register.example", "prefix": "/question/", "kind": "stream", "timeoutMs": 10000, "goalMs": 400, "priority": 2, "service": "orloj", "attempts": 2, "public": false, "sticky": true, "canResume": true, "gapAimMs": 300},
			{"name": "record", "host": "register.example", "prefix": "/permit/", "kind": "unsafe", "timeoutMs": 800, "goalMs": 300, "priority": 2, "service": "register", "attempts": 1, "public": false},
		},
		"services": []object{
			{"name": "orloj", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": object{"slots": 64, "kvTokens": 384268, "stride": 4}},
			{"name": "register", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{
			{"name": "parish", "apiKeys": keys, "priority": 1, "prepaid": 40000000},
			{"name": "office", "apiKeys": []string{"office-key"}, "priority": 1, "prepaid": 40000000},
		},
	}
}

// silentStore: the open connections of all machines to the store go silent for good, while
// new ones work. Half a second later the operator takes a key away.
func silentStore(s *system) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.put("op/config", registerConfiguration(3, "kept-key", "dropped-key")); err != nil {
		return false, err
	}
	if err := s.startWorkers("register", 3, 10*time.Millisecond); err != nil {
		return false, err
	}
	for n := range 12 {
		if _, err := s.startEngine(n); err != nil {
			return false, err
		}
	}
	if err := s.startRouters(3); err != nil {
		return false, err
	}
	time.Sleep(warmUp)

	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		all     []attempt
	)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	streams := make(map[int]int)
	for _, r := range s.routers {
		s.startStreams(ctx, &clients, r, &mu, streams)
		c := s.newClient(r, r.name)
		clients.Add(1)
		go func() {
			defer clients.Done()
			for ctx.Err() == nil {
				a := c.send(http.MethodPost, "/permit/x", "dropped-key")
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(trafficBefore)
	silenced := time.Now()
	if s.trouble {
		for _, r := range s.routers {
			s.logf("%d open connections of %s to the store go silent", r.store.silence(), r.name)
		}
	}
	time.Sleep(changeDelay)
	if err := s.put("op/config", registerConfiguration(9, "kept-key")); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	s.logf("the store acknowledges version 9, which drops the key")
	time.Sleep(observed)
	stop()
	clients.Wait()

	bound := acknowledged.Add(configApply)
	if end := silenced.Add(contact); s.trouble && end.After(bound) {
		bound = end
	}
	s.logf("requests with the dropped key that are sent later than %.3f must not run", s.since(bound))
	late := make(map[string]int)
	last := make(map[string]time.Time)
	sortBySent(all)
	for _, a := range all {
		runs := s.runsOf(a.id)
		s.logf("request %s with the dropped key sent at %.3f to %s: status %d, ran %d times, error %v", a.id, s.since(a.sent), a.router, a.status, len(runs), a.err)
		if len(runs) == 0 {
			continue
		}
		last[a.router] = a.sent
		if a.sent.After(bound) {
			late[a.router]++
		}
	}
	for _, r := range s.routers {
		line := fmt.Sprintf("%s: the last request with the dropped key that ran was sent %.3f s after the acknowledgement; %d ran that were sent after the bound",
			r.name, last[r.name].Sub(acknowledged).Seconds(), late[r.name])
		s.logf("%s", line)
		fmt.Println(line)
		broken = broken || late[r.name] > 0
	}
	return broken, nil
}
