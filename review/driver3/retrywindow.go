//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Load and disruption of the case retrywindow.
const (
	windowRate    = 83 // requests a second
	windowEvents  = 30 // of a stream
	windowGap     = 290 * time.Millisecond
	windowWorkers = 18
	windowCrashed = 4               // workers that crash at a time, of 18
	windowDown    = 4 * time.Second // until they are back
	firstCrash    = 14 * time.Second
	secondCrash   = firstCrash + 9800*time.Millisecond
	windowLength  = 30 * time.Second
)

// arrivalLog records when requests were sent by clients, and when they reached workers again.
type arrivalLog struct {
	mu      sync.Mutex
	sent    []time.Time
	arrived map[string]int
	again   []time.Time
}

func (l *arrivalLog) addSent(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, at)
}

func (l *arrivalLog) addArrival(id string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived[id]++
	if l.arrived[id] > 1 {
		l.again = append(l.again, at)
	}
}

// worst returns the window in which the arrivals beyond the first of their requests exceed what the rule
// allows by most.
func (l *arrivalLog) worst() (start time.Time, again, requests int, allowed float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := func(times []time.Time, from time.Time) (n int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(retryWindow)) {
				n++
			}
		}
		return n
	}
	slices.SortFunc(l.again, time.Time.Compare)
	for i, from := range l.again {
		n := count(l.again, from)
		sent := max(count(l.sent, from), count(l.sent, from.Add(-retryWindow)), count(l.sent, from.Add(-retryWindow/2)))
		limit := retryRatio*float64(sent) + retrySlack
		if i == 0 || float64(n)-limit > float64(again)-allowed {
			start, again, requests, allowed = from, n, sent, limit
		}
	}
	return start, again, requests, allowed
}

// retryWindowCase has workers crash twice, a little less than the window of the retry budget apart.
func retryWindowCase(f *fleet, trouble bool) (broken bool, err error) {
	const key = "n2ctnfzs989anu6wsjnb"
	log := &arrivalLog{arrived: make(map[string]int)}
	run := func(_ *worker, rw http.ResponseWriter, r *http.Request) {
		log.addArrival(r.Header.Get("X-Attempt-Id"), time.Now())
		stream(rw, r, windowEvents, windowGap)
	}
	var workers []*worker
	for n := range windowWorkers {
		w := &worker{service: "orloj-llm", zone: zones[n%len(zones)], id: fmt.Sprintf("i-%02d", n+1), run: run}
		w.restartID = func(starts int) string { return fmt.Sprintf("i-%02d-%d", n+1, starts) }
		if err := f.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	err = f.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "dossier-summary", "host": host, "prefix": "/dossier/", "kind": "stream", "timeoutMs": 10000, "goalMs": 800, "priority": 1,
			"service": "orloj-llm", "attempts": 2, "public": false, "sticky": true, "canResume": true, "gapAimMs": 300,
		}},
		"services": []any{engineService("orloj-llm")},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "prepaid": 5_000_000_000}},
	})
	if err != nil {
		return false, err
	}
	if err := f.startRouters(9); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	if trouble {
		for i, at := range []time.Duration{firstCrash, secondCrash} {
			time.AfterFunc(at, func() {
				for n := range windowCrashed {
					go workers[i*windowCrashed+n].crash(windowDown)
				}
			})
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	start := time.Now()
	for n := 0; time.Since(start) < windowLength; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / windowRate)))
		id, router := fmt.Sprintf("request-%d", n), f.routers[n*7%len(f.routers)]
		header := map[string]string{
			"X-Model": "m", "X-Token-Count": "17020,120", "X-Prompt-Prefix": fmt.Sprintf("5c1e%04x:13300,e44%06x:3720", n*31%116, n),
		}
		log.addSent(time.Now())
		all.Go(func() {
			a := send(router.caller, call{method: http.MethodPost, path: "/dossier/" + id, body: "x", id: id, key: key, deadline: 10 * time.Second, header: header})
			f.printf("the client of %s gets %d, whole: %t", id, a.status, a.whole())
			mu.Lock()
			defer mu.Unlock()
			if a.whole() {
				whole++
			}
		})
	}
	all.Wait()
	f.conclude("%d requests, %d whole", len(log.sent), whole)
	if len(log.again) == 0 {
		f.conclude("no request reached a worker more than once")
		return false, nil
	}
	from, again, requests, allowed := log.worst()
	f.conclude("from %.3f s, %d arrivals beyond the first of their requests in %v, for %d requests (allowed: %.1f)",
		from.Sub(f.start).Seconds(), again, retryWindow, requests, allowed)
	return float64(again) > allowed, nil
}
