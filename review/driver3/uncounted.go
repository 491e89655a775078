//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case uncounted.
const (
	uncountedPrepaid = 20_000 // tokens
	countedPrompt    = 1460
	countedOutput    = 80 // at most
	uncountedEvents  = 20 // of a stream, of 4 tokens each
	uncountedStride  = 4
	uncountedCalls   = 500
	countedCalls     = 20
)

// consumption counts what a tenant has consumed: the prompt of each request that was run and names
// it, and the output that was delivered.
type consumption struct {
	mu            sync.Mutex
	prompts       map[string]bool // requests that were run
	input, output int64
}

func (c *consumption) addRun(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id := r.Header.Get("X-Attempt-Id"); !c.prompts[id] && r.Header.Get("X-Token-Count") != "" {
		c.prompts[id] = true
		c.input += countedPrompt
	}
}

func (c *consumption) addDelivered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status == http.StatusOK {
		c.output += int64(strings.Count(a.body, "\n\n")) * uncountedStride
	}
}

// uncounted has a client leave out the header with the number of tokens. Without trouble it sends it.
func uncounted(f *fleet, trouble bool) (broken bool, err error) {
	const key = "n2ctnfzs989anu6wsjnb"
	used := &consumption{prompts: make(map[string]bool)}
	run := func(_ *worker, rw http.ResponseWriter, r *http.Request) {
		used.addRun(r)
		stream(rw, r, uncountedEvents, 2*time.Millisecond)
	}
	for n := range 6 {
		if err := f.startWorker(&worker{service: "orloj-llm", zone: zones[n%len(zones)], id: fmt.Sprintf("i-%02d", n+1), run: run}); err != nil {
			return false, err
		}
	}
	err = f.configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "sexton-question", "host": host, "prefix": "/question/", "kind": "stream", "timeoutMs": 10000, "goalMs": 400, "priority": 2,
			"service": "orloj-llm", "attempts": 2, "public": false, "sticky": true, "canResume": true, "gapAimMs": 300,
		}},
		"services": []any{engineService("orloj-llm")},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "prepaid": uncountedPrepaid}},
	})
	if err != nil {
		return false, err
	}
	if err := f.startRouters(9); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	ask := func(n int, id string, counted bool) int {
		header := map[string]string{"X-Model": "m"}
		if counted {
			header["X-Token-Count"] = fmt.Sprintf("%d,%d", countedPrompt, countedOutput)
			header["X-Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:350,e44%06x:1110", n)
		}
		router := f.routers[n%len(f.routers)]
		a := send(router.caller, call{method: http.MethodPost, path: "/question/" + id, body: "x", id: id, key: key, deadline: 10 * time.Second, header: header})
		used.addDelivered(a)
		f.printf("the client of %s, with the header: %t, gets %d from %s, whole: %t", id, counted, a.status, router.vm, a.whole())
		return a.status
	}
	statuses, later := make(map[int]int), make(map[int]int)
	for n := range uncountedCalls {
		statuses[ask(n, fmt.Sprintf("request-%d", n), !trouble)]++
		time.Sleep(10 * time.Millisecond)
	}
	before := used.input + used.output
	for n := range countedCalls {
		later[ask(n, fmt.Sprintf("later-%d", n), true)]++
		time.Sleep(50 * time.Millisecond)
	}
	consumed := used.input + used.output
	f.conclude("of %d tokens that the tenant has paid for in advance, it got %d at first: statuses %v", uncountedPrepaid, before, statuses)
	f.conclude("with requests that have the header, %d in all: statuses %v", consumed, later)
	return consumed > uncountedPrepaid, nil
}
