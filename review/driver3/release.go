//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case release.
const (
	releaseWorkers = 6
	releaseShare   = 2                       // workers that are replaced
	releaseEvery   = 1100 * time.Millisecond // between the starts of two new workers
	releaseServes  = 4 * time.Second
	releaseEvents  = 10 // of a stream
	releaseLength  = 20 * time.Second
)

// countedStream answers with events whose ids begin with first and rise by one. They continue after the
// Last-Event-Id of the request.
func countedStream(first int) func(*worker, http.ResponseWriter, *http.Request) {
	return func(_ *worker, rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", "text/event-stream")
		next := first
		if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			next = after + 1
		}
		for n := next; n < first+releaseEvents; n++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n, n-first+1, r.Header.Get("X-Attempt-Id")); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// pieces returns the data of the events of a body.
func pieces(body string) (all []string) {
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			all = append(all, data)
		}
	}
	return all
}

// release has the workers of a service replaced one after the other, a part of them, by a version of their software
// whose events are numbered from 0. Without trouble none is replaced.
func release(f *fleet, trouble bool) (broken bool, err error) {
	const key = "n2ctnfzs989anu6wsjnb"
	var workers []*worker
	for n := range releaseWorkers {
		w := &worker{service: "orloj-llm", zone: zones[n%len(zones)], id: fmt.Sprintf("i-%02d", n+1), run: countedStream(1)}
		if err := f.startWorker(w); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	err = f.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "finding-draft", "host": host, "prefix": "/finding/", "kind": "stream", "timeoutMs": 5000, "goalMs": 600, "priority": 0,
			"service": "orloj-llm", "attempts": 1, "public": false, "sticky": true, "canResume": false, "gapAimMs": 300,
		}},
		"services": []any{engineService("orloj-llm")},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "prepaid": 50_000_000}},
	})
	if err != nil {
		return false, err
	}
	if err := f.startRouters(9); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var all sync.WaitGroup
	if trouble {
		all.Go(func() {
			for n, old := range workers[:releaseShare] {
				time.Sleep(releaseEvery)
				w := &worker{service: "orloj-llm", zone: old.zone, id: fmt.Sprintf("i-%02d-v2", n+1), run: countedStream(0)}
				if startErr := f.startWorker(w); startErr != nil {
					f.printf("worker %s does not start: %v", w.id, startErr)
					return
				}
				all.Go(func() { old.drain(releaseServes) })
			}
		})
	}
	var mu sync.Mutex
	whole, lacking, other := 0, 0, 0
	start := time.Now()
	for n := 0; time.Since(start) < releaseLength; n++ {
		time.Sleep(50 * time.Millisecond)
		all.Go(func() {
			id, router := fmt.Sprintf("request-%d", n), f.routers[n%len(f.routers)]
			a := send(router.caller, call{
				method: http.MethodPost, path: "/finding/" + id, body: "x", id: id, key: key, deadline: 5 * time.Second,
				header: map[string]string{"X-Model": "m", "X-Token-Count": "2890,60", "X-Prompt-Prefix": fmt.Sprintf("5c1e%04x:2520,e44%06x:370", n%98, n)},
			})
			want := make([]string, 0, releaseEvents)
			for p := range releaseEvents {
				want = append(want, fmt.Sprintf("piece %d of %s", p+1, id))
			}
			got := pieces(a.body)
			f.printf("the client of %s gets %d, whole: %t, %d pieces", id, a.status, a.whole(), len(got))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !a.whole():
				other++
			case slices.Equal(got, want):
				whole++
			default:
				lacking++
				f.printf("%s lacks a piece; the first that came is %q", id, got[0])
			}
		})
	}
	all.Wait()
	f.conclude("%d streams were whole, %d ended as complete without all of their pieces, %d failed", whole, lacking, other)
	return lacking > 0, nil
}
