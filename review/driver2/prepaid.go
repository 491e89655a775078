//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	prepaidTokens  = 100_000
	prepaidWorkers = 6
	prepaidLength  = 20 * time.Second
	prepaidCallers = 12
	promptTokens   = 1000
	outputTokens   = 40 // ten events
	rejectDelay    = 100 * time.Millisecond
	leaveAfter     = 40 * time.Millisecond
	oddTokens      = "2,9223372036854775807" // X-Token-Count
)

const prepaidConfiguration = `{"version":1,"routes":[
 {"name":"r","host":"site.example","prefix":"/dossier/","kind":"stream","timeoutMs":10000,"goalMs":800,"gapAimMs":300,"priority":1,"service":"llm","attempts":2,"canResume":true}],
 "services":[{"name":"llm","maxConns":370,"engine":{"slots":64,"stride":4}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000},
 "tenants":[{"name":"one","apiKeys":["key-one"],"prepaid":%d},{"name":"two","apiKeys":["key-two"],"prepaid":%d}]}`

func init() { cases["prepaid"] = playPrepaid }

// playPrepaid lets a client that nobody controls send one request to each router whose token counts are
// the largest number, and leave. Then ordinary clients of the same tenant use up its prepaid tokens.
func playPrepaid(s *stage, root string) (held bool, err error) {
	s.put("op/config", fmt.Sprintf(prepaidConfiguration, prepaidTokens, prepaidTokens))
	var read atomic.Int64 // prompt tokens of requests of tenant one that ran
	var ran sync.Map
	handle := func(q *run) {
		// A request that is larger than the memory is rejected as if the worker were full: after
		// the time that it would have waited in the queue.
		if q.prompt > kvTokens || q.output > kvTokens-q.prompt {
			s.note("worker %s rejects request %s, which is larger than its memory", q.worker.id, q.id)
			time.Sleep(rejectDelay)
			q.reject()
			return
		}
		s.note("worker %s runs request %s of tenant %s", q.worker.id, q.id, q.tenant)
		if _, again := ran.LoadOrStore(q.id, true); !again && q.tenant == "one" {
			read.Add(q.prompt) // counted once per request
		}
		time.Sleep(20 * time.Millisecond)
		q.stream(int(q.output / stride))
	}
	for n := range prepaidWorkers {
		w, err := s.startWorker(fmt.Sprintf("i-%d", n), "llm", fmt.Sprintf("zone-%d", n%3), freeAddress(), handle)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := s.startFronts(root, 3); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if s.trouble {
		for n, f := range s.fronts {
			id := fmt.Sprintf("odd-%d", n)
			a := send(f.address, ask{
				id: id, host: "site.example", path: "/dossier/x", key: "key-one", body: "odd",
				tokens: oddTokens, prefix: "aa:1,bb:1", deadline: 10 * time.Second, leave: leaveAfter,
			})
			s.note("request %s with X-Token-Count %s to %s: %v", id, oddTokens, f.name, a.err)
		}
		time.Sleep(500 * time.Millisecond)
	}
	var delivered, served, refused, other atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(prepaidLength)
	for c := range prepaidCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				f, id := s.fronts[(c+n)%3], fmt.Sprintf("ordinary-%d-%d", c, n)
				s.note("request %s is sent to %s", id, f.name)
				a := send(f.address, ask{
					id: id, host: "site.example", path: "/dossier/x", key: "key-one", body: "ordinary",
					tokens: fmt.Sprintf("%d,%d", promptTokens, outputTokens), prefix: fmt.Sprintf("dd%02x:500,ee%x%x:500", c, c, n), deadline: 10 * time.Second,
				})
				s.note("request %s ends: status %d, %d events, %v", id, a.status, a.events(), a.err)
				switch {
				case a.status == 200:
					served.Add(1)
					delivered.Add(int64(a.events()) * stride)
				case a.status == 402 || a.status == 503:
					refused.Add(1)
				default:
					other.Add(1)
				}
				if a.status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	got := read.Load() + delivered.Load()
	s.note("ordinary requests of tenant one: %d served, %d refused, %d other", served.Load(), refused.Load(), other.Load())
	s.note("tenant one got %d tokens (%d in, %d out) of %d prepaid", got, read.Load(), delivered.Load(), prepaidTokens)
	return got <= prepaidTokens, nil
}
