//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The cases crashloop and crashpair.
const (
	crashDown     = 3 * time.Second // "the worker is back after some seconds"
	crashInterval = 5 * time.Second // between two sendings of the request
	crashSendings = 13
	crashWorkers  = 6
	soundInterval = 400 * time.Millisecond // between two sound requests
	soundGap      = 150 * time.Millisecond

	// maxRetriesAfterThird is the bound of the rule.
	maxRetriesAfterThird = 3
)

// The case crashleave. All sendings are within the 9 s in which clients of the site leave on one of its days,
// and are less than three tenths of the requests then.
const (
	leaveInterval      = 700 * time.Millisecond
	leaveSendings      = 12
	leaveWorkers       = 18
	leaveSoundInterval = 200 * time.Millisecond
	leaveSoundGap      = 40 * time.Millisecond
	leaveAfter         = 100 * time.Millisecond // half the objective is 300 ms
	leaveWaits         = 300 * time.Millisecond
)

// crashLog records when the crashing request reached workers, and when it crashed them.
type crashLog struct {
	mu      sync.Mutex
	arrived []time.Time
	crashed []time.Time
}

func (l *crashLog) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, time.Now())
}

func (l *crashLog) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed = append(l.crashed, time.Now())
}

// lateRetries returns how often the request reached workers later than contactMs after it had crashed
// the third.
func (l *crashLog) lateRetries() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashed) < 3 {
		return 0
	}
	for _, at := range l.arrived {
		if at.After(l.crashed[2].Add(contact)) {
			n++
		}
	}
	return n
}

// crashSystem is a system with one route to engines, on which sound requests share the prompt of
// one that crashes the workers.
type crashSystem struct {
	*fleet
	log   crashLog
	crash bool // whether the request crashes workers
	// waits is how long the crashing request waits at a worker before it begins to run, also if its
	// connection is closed meanwhile. leaves is when its client leaves, or 0.
	waits, leaves time.Duration
	// interval is between two of the sendings, soundInterval between two sound requests.
	interval, soundInterval time.Duration
	soundGap                time.Duration // between the events of a sound stream
	sendings                int
	ownPrompts              bool // whether each sound request has a prompt of its own

	mu           sync.Mutex
	served, lost int // of the sound requests
}

const (
	crashKey  = "n2ctnfzs989anu6wsjnb"
	crashPath = "/finding/summary"
)

// newCrashSystem starts workers and routers. newIDs tells whether a worker that has crashed starts
// again under another identifier.
func newCrashSystem(f *fleet, crash, newIDs bool, workers int) (s *crashSystem, err error) {
	s = &crashSystem{fleet: f, crash: crash, interval: crashInterval, soundInterval: soundInterval, soundGap: soundGap, sendings: crashSendings}
	for n := range workers {
		w := &worker{service: "orloj-llm", zone: zones[n%len(zones)], id: fmt.Sprintf("i-%02d", n+1), run: s.run}
		if newIDs {
			w.restartID = func(starts int) string { return fmt.Sprintf("i-%02d-%d", n+1, starts) }
		}
		if err := f.startWorker(w); err != nil {
			return nil, err
		}
	}
	err = f.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "finding-draft", "host": host, "prefix": "/finding/", "kind": "stream", "timeoutMs": 5000, "goalMs": 600, "priority": 0,
			"service": "orloj-llm", "attempts": 1, "public": false, "sticky": true, "canResume": false, "gapAimMs": 300,
		}},
		"services": []any{engineService("orloj-llm")},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{crashKey}, "priority": 1, "prepaid": 50_000_000}},
	})
	if err != nil {
		return nil, err
	}
	if err := f.startRouters(9); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	return s, nil
}

// engineService is a service of the configuration whose workers are engines.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvTokens": 384268, "stride": 4, "models": []any{map[string]any{"name": "m"}}},
	}
}

// run is what a worker does with a request.
func (s *crashSystem) run(w *worker, rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != crashPath {
		stream(rw, r, 13, s.soundGap)
		return
	}
	s.log.arrive()
	time.Sleep(s.waits)
	if s.crash {
		s.log.crash()
		w.crash(crashDown)
		panic(http.ErrAbortHandler)
	}
	stream(rw, r, 13, 20*time.Millisecond)
}

// call sends a request of the client and records the answer.
func (s *crashSystem) call(n int, path, id string) answer {
	router, leaves := s.routers[n%len(s.routers)], time.Duration(0)
	if path == crashPath {
		leaves = s.leaves
	}
	prompt := "5c1e07a2:2520,91bd3f06:250,e4402b7d:120"
	if path != crashPath && s.ownPrompts {
		prompt = fmt.Sprintf("%08x:2520,%08x:370", n+1, n+1<<16)
	}
	s.printf("request %s is sent to %s", id, router.vm)
	a := send(router.caller, call{
		method: http.MethodPost, path: path, body: "the same body", id: id, key: crashKey, deadline: 5 * time.Second, leaves: leaves,
		header: map[string]string{"X-Model": "m", "X-Token-Count": "2890,60", "X-Prompt-Prefix": prompt},
	})
	s.printf("the client of %s gets %d, whole: %t", id, a.status, a.whole())
	return a
}

// sendSound sends sound requests until end is closed, some of which are in progress at any time.
func (s *crashSystem) sendSound(end chan struct{}) {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-time.After(s.soundInterval):
		}
		all.Go(func() {
			id := fmt.Sprintf("sound-%d", n)
			a := s.call(n, "/finding/"+id, id)
			s.mu.Lock()
			defer s.mu.Unlock()
			if a.whole() {
				s.served++
			} else {
				s.lost++
			}
		})
	}
}

// conclude reports whether the rule was broken.
func (s *crashSystem) conclude() (broken bool) {
	late := s.log.lateRetries()
	s.fleet.conclude("the request reached workers %d times and crashed %d; %d times later than %v after the third crash (allowed: %d)",
		len(s.log.arrived), len(s.log.crashed), late, contact, maxRetriesAfterThird)
	s.fleet.conclude("sound requests beside it: %d served, %d not", s.served, s.lost)
	return late > maxRetriesAfterThird
}

// play sends the request again and again. before, if it is not nil, is called shortly before each
// time.
func (s *crashSystem) play(before func(n int)) (broken bool) {
	end := make(chan struct{})
	var sound sync.WaitGroup
	sound.Go(func() { s.sendSound(end) })
	for n := range s.sendings {
		time.Sleep(s.interval)
		if before != nil {
			go before(n)
			time.Sleep(100 * time.Millisecond)
		}
		s.call(n, crashPath, fmt.Sprintf("crash-%d", n))
	}
	close(end)
	sound.Wait()
	return s.conclude()
}

// crashLoop has one request crash each worker that begins to run it. The workers start again under
// the identifiers that they had; with NEW_IDS=1, for comparison, under others. Without trouble the
// request is sound.
func crashLoop(f *fleet, trouble bool) (broken bool, err error) {
	s, err := newCrashSystem(f, trouble, os.Getenv("NEW_IDS") == "1", crashWorkers)
	if err != nil {
		return false, err
	}
	return s.play(nil), nil
}

// crashPair is crashLoop with workers that start again under other identifiers, and a client that
// sends a sound request together with the crashing one each time; with ALONE=1, for comparison, it does not.
func crashPair(f *fleet, trouble bool) (broken bool, err error) {
	s, err := newCrashSystem(f, trouble, true, crashWorkers)
	if err != nil {
		return false, err
	}
	if os.Getenv("ALONE") == "1" {
		return s.play(nil), nil
	}
	return s.play(func(n int) { s.call(n+4, "/finding/companion", fmt.Sprintf("companion-%d", n)) }), nil
}

// crashLeave is crashLoop with workers that start again under other identifiers. The client leaves
// while its request waits at a worker, which does not drop it.
func crashLeave(f *fleet, trouble bool) (broken bool, err error) {
	s, err := newCrashSystem(f, trouble, true, leaveWorkers)
	if err != nil {
		return false, err
	}
	s.waits, s.leaves = leaveWaits, leaveAfter
	s.interval, s.soundInterval, s.soundGap, s.sendings = leaveInterval, leaveSoundInterval, leaveSoundGap, leaveSendings
	s.ownPrompts = true
	return s.play(nil), nil
}
