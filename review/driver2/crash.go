//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashWorkers     = 6               // of each service
	crashRestart     = 2 * time.Second // a crashed worker is back after it
	allowedLateSends = 3
	soundPeriod      = 50 * time.Millisecond
)

// crashPhase is one way in which a request comes again.
type crashPhase struct {
	name    string
	service string
	path    string // of the request; %d is the number of the send
	tokens  string
	prefix  string
	newIDs  bool // a worker that has crashed is back under another id
	period  time.Duration
	length  time.Duration
}

var crashPhases = []crashPhase{
	{
		name: "same-id", service: "llm", path: "/dossier/x", tokens: "300,40", prefix: "cc01:200,cc02:100",
		period: 4 * time.Second, length: 48 * time.Second,
	},
	{
		name: "query", service: "app", path: "/permit/x?send=%d", newIDs: true,
		period: 2 * time.Second, length: 30 * time.Second,
	},
}

// crashLog records what a request that crashes workers does.
type crashLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	byID     map[string]int
	started  int // workers
}

func init() { cases["crash"] = playCrash }

// playCrash sends a request that crashes each worker that begins to run it, again and again, with the
// same path, caller and body.
func playCrash(s *stage, root string) (held bool, err error) {
	s.put("op/config", plentyConfiguration)
	logs := make(map[string]*crashLog)
	var all sync.Map // workers, by pointer
	defer all.Range(func(w, _ any) bool {
		w.(*worker).end()
		return true
	})
	for _, p := range crashPhases {
		l := &crashLog{byID: make(map[string]int)}
		logs[p.name] = l
		var handle func(*run)
		start := func() error {
			l.mu.Lock()
			id := fmt.Sprintf("i-%s-%d", p.service, l.started)
			zone := fmt.Sprintf("zone-%d", l.started%3)
			l.started++
			l.mu.Unlock()
			w, err := s.startWorker(id, p.service, zone, freeAddress(), handle)
			if err == nil {
				all.Store(w, true)
			}
			return err
		}
		handle = func(q *run) {
			if !strings.Contains(q.body, "crashing") || !s.trouble {
				s.note("worker %s runs request %s", q.worker.id, q.id)
				time.Sleep(20 * time.Millisecond)
				if p.service == "llm" {
					q.stream(10)
					return
				}
				q.writer.Header().Set("X-Server-Seal", "seal-"+q.worker.id)
				fmt.Fprintf(q.writer, "permit for %s", q.id)
				return
			}
			l.mu.Lock()
			l.arrivals = append(l.arrivals, time.Now())
			l.mu.Unlock()
			s.note("worker %s begins to run request %s", q.worker.id, q.id)
			time.Sleep(50 * time.Millisecond)
			if !q.worker.crash() {
				return
			}
			l.mu.Lock()
			l.crashes = append(l.crashes, time.Now())
			l.byID[q.worker.id]++
			s.note("worker %s crashes, crash %d", q.worker.id, len(l.crashes))
			l.mu.Unlock()
			time.AfterFunc(crashRestart, func() {
				var err error
				if p.newIDs {
					s.remove("servers/" + q.worker.id)
					err = start()
				} else {
					err = q.worker.listen()
				}
				s.note("worker %s is back, under another id: %v, %v", q.worker.id, p.newIDs, err)
			})
		}
		for range crashWorkers {
			if err := start(); err != nil {
				return false, err
			}
		}
	}
	if err := s.startFronts(root, 3); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sound, served atomic.Int64
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(soundPeriod):
			}
			wg.Go(func() {
				f, id := s.fronts[n%3], fmt.Sprintf("sound-%d", n)
				a := send(f.address, ask{
					id: id, host: "site.example", path: "/dossier/x", key: "key-one", body: fmt.Sprintf("sound %d", n),
					tokens: "300,40", prefix: fmt.Sprintf("aa%02x:200,bb%04x:100", n%8, n), deadline: 10 * time.Second,
				})
				s.note("request %s to %s ends: status %d, complete %v, %v", id, f.name, a.status, a.complete, a.err)
				sound.Add(1)
				if a.status == 200 && a.complete {
					served.Add(1)
				}
			})
		}
	})
	held = true
	for _, p := range crashPhases {
		s.playCrashPhase(p)
		held = s.checkCrashPhase(p, logs[p.name]) && held
	}
	close(stop)
	wg.Wait()
	for _, f := range s.fronts {
		if !f.running() {
			return false, fmt.Errorf("%w: %s has ended", errCannotRun, f.name)
		}
	}
	s.note("%d of %d sound requests were served", served.Load(), sound.Load())
	return held, nil
}

// playCrashPhase sends the request again and again, to one router after the other.
func (s *stage) playCrashPhase(p crashPhase) {
	begin := time.Now()
	for n := 0; time.Since(begin) < p.length; n++ {
		f, id, path := s.fronts[n%3], fmt.Sprintf("%s-%d", p.name, n), p.path
		if strings.Contains(path, "%d") {
			send := n
			if os.Getenv("SAME_QUERY") == "1" {
				send = 0
			}
			path = fmt.Sprintf(path, send)
		}
		s.note("request %s %s is sent to %s", id, path, f.name)
		a := send(f.address, ask{
			id: id, host: "site.example", path: path, key: "key-one", body: "the crashing content",
			tokens: p.tokens, prefix: p.prefix, deadline: min(2*p.period, 10*time.Second),
		})
		s.note("request %s ends: status %d, complete %v, %v", id, a.status, a.complete, a.err)
		time.Sleep(time.Until(begin.Add(time.Duration(n+1) * p.period)))
	}
}

// checkCrashPhase reports whether the rule held.
func (s *stage) checkCrashPhase(p crashPhase, l *crashLog) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.note("%s: %d crashes, by worker %v", p.name, len(l.crashes), l.byID)
	if len(l.crashes) < 3 {
		return true
	}
	late := 0
	for _, at := range l.arrivals {
		if at.After(l.crashes[2].Add(contact)) {
			late++
		}
	}
	s.note("%s: the request reached a worker %d times later than %v after the third crash; %d are allowed", p.name, late, contact, allowedLateSends)
	return late <= allowedLateSends
}
