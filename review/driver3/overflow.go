package main

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case overflow.
const (
	overflowPrepaid = 60_000 // tokens
	overflowPrompt  = 1460
	overflowOutput  = 80 // at most
	overflowEvents  = 20 // of a stream, of 4 tokens each
	overflowStride  = 4
	overflowCalls   = 400
	overflowEach    = 10 // one request in so many names the largest number

	// With REJECT=1, workers reject a request that is larger than their memory at its most, after a
	// while, and its client leaves before.
	workerMemory  = 384_268 // tokens
	rejectionTime = 60 * time.Millisecond
	leavingTime   = 30 * time.Millisecond
)

// consumption counts what a tenant has consumed: the prompt of each request that was run, and the
// output that was delivered.
type consumption struct {
	mu            sync.Mutex
	prompts       map[string]bool // requests that were run
	input, output int64
}

func (c *consumption) addRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.prompts[id] {
		c.prompts[id] = true
		c.input += overflowPrompt
	}
}

func (c *consumption) addDelivered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.status == http.StatusOK {
		c.output += int64(strings.Count(a.body, "\n\n")) * overflowStride
	}
}

// overflow has a client name the largest number as the most output tokens that it wants, in one request
// of ten. Without trouble it names a number that it needs.
func overflow(f *fleet, trouble bool) (broken bool, err error) {
	const key = "n2ctnfzs989anu6wsjnb"
	reject := os.Getenv("REJECT") == "1"
	used := &consumption{prompts: make(map[string]bool)}
	run := func(_ *worker, rw http.ResponseWriter, r *http.Request) {
		_, most, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
		if n, err := strconv.ParseInt(most, 10, 64); reject && (err != nil || n > workerMemory-overflowPrompt) {
			time.Sleep(rejectionTime)
			rw.Header().Del("X-Server-Seal")
			rw.Header().Set("X-Not-Run", "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		used.addRun(r.Header.Get("X-Attempt-Id"))
		stream(rw, r, overflowEvents, 2*time.Millisecond)
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
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1, "prepaid": overflowPrepaid}},
	})
	if err != nil {
		return false, err
	}
	if err := f.startRouters(9); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	ask := func(n int, id string, most int64) int {
		router, leaves := f.routers[n%len(f.routers)], time.Duration(0)
		if reject && most > workerMemory {
			leaves = leavingTime
		}
		a := send(router.caller, call{
			method: http.MethodPost, path: "/question/" + id, body: "x", id: id, key: key, deadline: 10 * time.Second, leaves: leaves,
			header: map[string]string{
				"X-Model": "m", "X-Token-Count": strconv.Itoa(overflowPrompt) + "," + strconv.FormatInt(most, 10),
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:350,e44%06x:1110", n),
			},
		})
		used.addDelivered(a)
		f.printf("the client of %s, with %d output tokens at most, gets %d from %s, whole: %t", id, most, a.status, router.vm, a.whole())
		return a.status
	}
	statuses, unlimited := make(map[int]int), make(map[int]int)
	for n := range overflowCalls {
		time.Sleep(50 * time.Millisecond)
		if id := fmt.Sprintf("request-%d", n); trouble && n%overflowEach == 0 {
			unlimited[ask(n, id, math.MaxInt64)]++
		} else {
			statuses[ask(n, id, overflowOutput)]++
		}
	}
	consumed := used.input + used.output
	f.conclude("the tenant has paid for %d tokens in advance, and got %d: %d in prompts that were run, %d in output that was delivered",
		overflowPrepaid, consumed, used.input, used.output)
	f.conclude("statuses of the usual requests: %v, of those with the largest number: %v", statuses, unlimited)
	return consumed > overflowPrepaid, nil
}
