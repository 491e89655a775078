//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
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
	// rounds is the number of times that the connections go silent, and round the time
	// between two of them.
	rounds = 11
	round  = 8500 * time.Millisecond
	// changeDelay is the time from there to the change of the configuration.
	changeDelay = 500 * time.Millisecond
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
// new ones work. Half a second later the operator takes a key away. That comes several
// times, each time with another key.
func silentStore(s *system) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	var keys []string
	for n := range rounds + 1 {
		keys = append(keys, fmt.Sprintf("key-%d", n))
	}
	if err := s.put("op/config", registerConfiguration(3, keys...)); err != nil {
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
		dropped atomic.Int32 // the key that clients send
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
				a := c.send(http.MethodPost, "/permit/x", keys[dropped.Load()])
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(trafficBefore)
	type bound struct{ acknowledged, late, end time.Time }
	bounds := make(map[string]bound)
	for n := range rounds {
		silenced := time.Now()
		dropped.Store(int32(n))
		if s.trouble {
			for _, r := range s.routers {
				s.logf("%d open connections of %s to the store go silent", r.store.silence(), r.name)
			}
		}
		time.Sleep(changeDelay)
		if err := s.put("op/config", registerConfiguration(9+2*n, keys[n+1:]...)); err != nil {
			return false, err
		}
		b := bound{acknowledged: time.Now(), end: silenced.Add(round)}
		if b.late = b.acknowledged.Add(configApply); s.trouble && silenced.Add(contact).After(b.late) {
			b.late = silenced.Add(contact)
		}
		bounds[keys[n]] = b
		s.logf("the store acknowledges version %d, which drops %s; requests with it that are sent later than %.3f must not run", 9+2*n, keys[n], s.since(b.late))
		time.Sleep(time.Until(b.end))
	}
	stop()
	clients.Wait()

	late := make(map[string]int)
	last := make(map[string]float64) // seconds after the acknowledgement
	sortBySent(all)
	for _, a := range all {
		runs := s.runsOf(a.id)
		s.logf("request %s with %s sent at %.3f to %s: status %d, ran %d times, error %v", a.id, a.key, s.since(a.sent), a.router, a.status, len(runs), a.err)
		b, ok := bounds[a.key]
		if !ok || len(runs) == 0 {
			continue
		}
		last[a.key] = a.sent.Sub(b.acknowledged).Seconds()
		if a.sent.After(b.late) && a.sent.Before(b.end) {
			late[a.key]++
		}
	}
	for _, key := range keys[:rounds] {
		line := fmt.Sprintf("%s: the last request with it that ran was sent %.3f s after the acknowledgement; %d ran that were sent after the bound", key, last[key], late[key])
		s.logf("%s", line)
		fmt.Println(line)
		broken = broken || late[key] > 0
	}
	return broken, nil
}
