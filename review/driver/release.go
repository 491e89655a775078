//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the large site, unless another page is named.
const (
	engines         = 78              // workers of orloj-llm
	releaseStep     = 18              // release: x = 18 at a time
	releaseShare    = 35              // release: share = 0.45 of 78 workers
	releaseGap      = time.Second     // release: gap_s = 1.0
	largeDrain      = 4 * time.Second // drainMs
	largeContact    = 5 * time.Second // contactMs
	streamRate      = 360             // requests of orloj-llm a second, to all machines
	permitTimeout   = 800 * time.Millisecond
	permitDeadline  = 1500 * time.Millisecond
	descriptors     = 4100 // fds of a machine
	workerKeepAlive = 5 * time.Second
	streamEvents    = 10
	eventInterval   = 80 * time.Millisecond
)

// engine is a stand-in for a worker of the engine service.
type engine struct {
	id, address string
	server      *http.Server
	record      object
}

func (s *system) startEngine(n int) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: fmt.Sprintf("i-engine-%d", n), address: l.Addr().String()}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: workerKeepAlive}
	go e.server.Serve(l)
	e.record = object{"service": "orloj", "addr": e.address, "zone": string("abc"[n%3]), "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": time.Now().UnixMilli()}
	return e, s.put("servers/"+e.id, e.record)
}

// release drains the worker and ends it as the pages tell.
func (s *system) release(e *engine) {
	e.record["state"], e.record["seq"] = "draining", 2
	if s.put("servers/"+e.id, e.record) != nil {
		return
	}
	time.Sleep(largeDrain + time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if e.server.Shutdown(ctx) != nil {
		e.server.Close()
	}
	s.delete("servers/" + e.id)
}

func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(workerKeepAlive.Seconds())))
	if expected := r.Header.Get("X-Expect-Instance"); expected != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	io.Copy(io.Discard, r.Body)
	rw.Header().Set("X-Server-Seal", "seal."+e.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw).Flush
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, id)
		flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *system) delete(key string) {
	s.service.Client().Delete(context.Background(), key, always)
}

func largeConfiguration() object {
	return object{"version": 3,
		"routes": []object{
			{"name": "question", "host": "register.example", "prefix": "/question/", "kind": "stream", "timeoutMs": 10000, "goalMs": 400, "priority": 2, "service": "orloj", "attempts": 2, "public": false, "sticky": true, "canResume": true, "gapAimMs": 400},
			{"name": "record", "host": "register.example", "prefix": "/permit/", "kind": "unsafe", "timeoutMs": 800, "goalMs": 120, "priority": 2, "service": "register", "attempts": 1, "public": false},
		},
		"services": []object{
			{"name": "orloj", "healthPath": "/health", "maxConns": 1500, "protocol": "h1", "tls": false, "engine": object{"slots": 64, "kvTokens": 384282, "stride": 6}},
			{"name": "register", "healthPath": "/health", "maxConns": 1200, "protocol": "h1", "tls": false},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "office", "apiKeys": []string{"office-key"}, "priority": 1, "prepaid": 4000000000}},
	}
}

// probe is what the platform sees of the readiness of one machine.
type probe struct {
	at    time.Time
	ready bool
}

// workerRelease: the workers of a service are replaced, some at a time, again and again.
func workerRelease(s *system) (broken bool, err error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.put("op/config", largeConfiguration()); err != nil {
		return false, err
	}
	if err := s.startWorkers("register", 5, 15*time.Millisecond); err != nil {
		return false, err
	}
	var running []*engine
	started := 0
	for range engines {
		e, err := s.startEngine(started)
		if err != nil {
			return false, err
		}
		started++
		running = append(running, e)
	}
	s.descriptors = descriptors
	if err := s.startRouters(2); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var permits []attempt
	answered := map[string]time.Duration{}
	fresh := map[string]bool{}
	probes := map[string][]probe{}
	streams := map[int]int{}
	for _, r := range s.routers {
		s.startStreams(ctx, &wg, r, &mu, streams)
		for _, newConnection := range []bool{false, true} {
			s.startPermits(ctx, &wg, r, newConnection, func(a attempt, took time.Duration) {
				mu.Lock()
				defer mu.Unlock()
				permits = append(permits, a)
				fresh[a.id] = newConnection
				if a.status != 0 {
					answered[a.id] = took
				}
			})
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := http.Client{Timeout: time.Second}
			for ctx.Err() == nil {
				p := probe{at: time.Now()}
				if response, err := c.Get("http://" + r.ready + "/api/ready"); err == nil {
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
					p.ready = response.StatusCode == http.StatusOK
				}
				mu.Lock()
				probes[r.name] = append(probes[r.name], p)
				mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}

	begin := time.Now()
	lastRelease := begin
	var releases sync.WaitGroup
	for step := 0; time.Since(begin) < releasePeriod; step++ {
		if s.trouble {
			count := releaseStep
			if step%2 == 1 {
				count = releaseShare - releaseStep
			}
			for range count {
				e, err := s.startEngine(started)
				if err != nil {
					return false, err
				}
				started++
				running = append(running, e)
			}
			for _, e := range running[:count] {
				releases.Add(1)
				go func() { defer releases.Done(); s.release(e) }()
			}
			running = running[count:]
			lastRelease = time.Now()
		}
		if step%5 == 0 {
			for _, r := range s.routers {
				s.logf("%s: %d open descriptors, %d workers replaced so far", r.name, r.openDescriptors(), started-engines)
			}
		}
		time.Sleep(releaseGap)
	}
	releases.Wait()
	time.Sleep(largeContact)
	quiet := time.Now()
	s.logf("the last worker has left; no worker has been replaced since %.3f", s.since(lastRelease))
	time.Sleep(12 * time.Second)
	end := time.Now().Add(-3 * time.Second)
	for _, r := range s.routers {
		s.logf("%s: %d open descriptors", r.name, r.openDescriptors())
	}
	stop()
	wg.Wait()

	sortBySent(permits)
	for _, a := range permits {
		n := len(s.runsOf(a.id))
		s.logf("permit %s sent at %.3f to %s, new connection %v, status %d after %.3f s, runs %d, error %v", a.id, s.since(a.sent), a.router, fresh[a.id], a.status, answered[a.id].Seconds(), n, a.err)
	}
	s.logf("streams by status: %v", streams)
	for _, r := range s.routers {
		late, unanswered, newTried, newAnswered := 0, 0, 0, 0
		for _, a := range permits {
			if a.router != r.name || a.sent.Before(quiet) || a.sent.After(end) {
				continue
			}
			took, ok := answered[a.id]
			if !ok || took > permitTimeout {
				late++
				if !ok || took > permitTimeout+500*time.Millisecond {
					unanswered++
				}
			}
			if fresh[a.id] {
				newTried++
				if ok {
					newAnswered++
				}
			}
		}
		ready := 0
		total := 0
		for _, p := range probes[r.name] {
			if p.at.After(quiet) && p.at.Before(end) {
				total++
				if p.ready {
					ready++
				}
			}
		}
		line := fmt.Sprintf("%s: from %.3f to %.3f, %d permits were unanswered at the route's timeout of 800 ms, %d of them half a second later; %d of %d requests on new connections were answered; ready in %d of %d probes",
			r.name, s.since(quiet), s.since(end), late, unanswered, newAnswered, newTried, ready, total)
		s.logf("%s", line)
		fmt.Println(line)
		broken = broken || late >= 20 && 2*unanswered > late
	}
	return broken, nil
}

// releasePeriod is how long workers are replaced.
const releasePeriod = 75 * time.Second

// startStreams sends a machine its part of the streams.
func (s *system) startStreams(ctx context.Context, wg *sync.WaitGroup, r *router, mu *sync.Mutex, statuses map[int]int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 400}, Timeout: 12 * time.Second}
	wg.Add(1)
	go func() {
		defer wg.Done()
		interval := time.Second * time.Duration(len(s.routers)) / streamRate
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				status := 0
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.caller+"/question/x", strings.NewReader("question"))
				if err != nil {
					return
				}
				request.Host = "register.example"
				request.Header.Set("X-Attempt-Id", fmt.Sprintf("q-%s-%d", r.name, n))
				request.Header.Set("X-Deadline-Ms", "10000")
				request.Header.Set("X-Model", "m")
				request.Header.Set("X-Token-Count", "1460,60")
				request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:350,%x:1110", 1000+rand.IntN(138), 1<<20+n))
				request.Header.Set("Authorization", "Bearer office-key")
				if response, err := c.Do(request); err == nil {
					if _, err := io.Copy(io.Discard, response.Body); err == nil {
						status = response.StatusCode
					}
					response.Body.Close()
				}
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}()
		}
	}()
}

// startPermits sends a machine ten requests a second that are not idempotent, over kept
// connections or each over a new one.
func (s *system) startPermits(ctx context.Context, wg *sync.WaitGroup, r *router, newConnection bool, done func(attempt, time.Duration)) {
	c := s.newClient(r, fmt.Sprintf("p-%s-%v", r.name, newConnection))
	c.http.Transport = &http.Transport{DisableKeepAlives: newConnection}
	c.http.Timeout = permitDeadline
	wg.Add(1)
	go func() {
		defer wg.Done()
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			one := *c
			one.n = n
			wg.Add(1)
			go func() {
				defer wg.Done()
				a := one.send(http.MethodPost, "/permit/x", "office-key")
				done(a, time.Since(a.sent))
			}()
		}
	}()
}

// openDescriptors returns the number of open descriptors of the process.
func (r *router) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.command.Process.Pid))
	return len(entries)
}
