//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"example.org/lagoonfork/internal/fake/keyvalue"
)

const (
	staleRouters = 5
	staleRounds  = 9
	staleOutage  = 4500 * time.Millisecond // the store is down
	// Times from the store's return to the loss of the first machine, from then to the change, and
	// from the acknowledgement to the loss of two more.
	staleFirst, staleChange, staleSecond = 300 * time.Millisecond, 200 * time.Millisecond, 50 * time.Millisecond

	staleJudged = 1500 * time.Millisecond // requests are judged for so long
	stalePause  = 30 * time.Millisecond   // between them
)

func init() { cases["stale"] = playStale }

// playStale takes keys away shortly after outages of the store, while machines lose their power.
func playStale(s *stage, root string) (held bool, err error) {
	s.oneZone = true
	version := 0
	configure := func(first int) time.Time {
		version++
		var keys []string
		for n := first; n <= staleRounds; n++ {
			keys = append(keys, fmt.Sprintf("%q", fmt.Sprint("key-", n)))
		}
		tenant := fmt.Sprintf(`{"name":"one","apiKeys":[%s],"prepaid":1000000}`, strings.Join(keys, ","))
		s.put("op/config", fmt.Sprintf(keysConfiguration, version, tenant))
		return time.Now()
	}
	configure(0)
	handle := func(q *run) {
		time.Sleep(5 * time.Millisecond)
		q.writer.Header().Set("X-Server-Seal", "seal-"+q.worker.id)
		fmt.Fprintf(q.writer, "permit for %s", q.id)
	}
	for n := range keysWorkers {
		w, err := s.startWorker(fmt.Sprintf("i-%d", n), "app", "zone-0", freeAddress(), handle)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := s.startFronts(root, staleRouters); err != nil {
		return false, err
	}
	time.Sleep(contact)
	late := 0
	for round := range staleRounds {
		dark := make(map[int]bool)
		if s.trouble {
			s.note("round %d: the store is down", round)
			s.backend.SetFaults(keyvalue.Faults{Outage: true})
		}
		time.Sleep(staleOutage)
		s.backend.SetFaults(keyvalue.Faults{})
		back := time.Now()
		s.note("round %d: the store is up", round)
		stop := func(n int) {
			if !s.trouble || dark[n] {
				return
			}
			dark[n] = true
			s.note("round %d: %s loses its power", round, s.fronts[n].name)
			_ = s.fronts[n].command.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(staleFirst)
		stop(0)
		time.Sleep(staleChange)
		acked := configure(round + 1)
		s.note("round %d: version %d is acknowledged, without key-%d", round, version, round)
		time.Sleep(staleSecond)
		stop(2)
		stop(3)
		from := back.Add(contact)
		if bound := acked.Add(configApply); bound.After(from) {
			from = bound
		}
		time.Sleep(time.Until(from) + 10*time.Millisecond)
		ran := make(map[string]int)
		for time.Since(from) < staleJudged {
			for n, f := range s.fronts {
				if dark[n] {
					continue
				}
				sent := time.Now()
				a := send(f.address, ask{
					id: fmt.Sprintf("permit-%d-%d-%d", round, n, sent.UnixNano()), host: "site.example", path: "/permit/x",
					key: fmt.Sprint("key-", round), body: "permit", deadline: 1500 * time.Millisecond,
				})
				if a.status == 200 {
					ran[f.name]++
					late++
					s.note("round %d: %s runs a request with the dropped key that was sent %v after the acknowledgement, %v after the store's return",
						round, f.name, sent.Sub(acked).Round(time.Millisecond), sent.Sub(back).Round(time.Millisecond))
				}
			}
			time.Sleep(stalePause)
		}
		s.note("round %d: requests with the dropped key that ran too late: %v", round, ran)
		for n := range dark {
			s.fronts[n].kill()
			if err := s.fronts[n].start(); err != nil {
				return false, err
			}
		}
		for _, f := range s.fronts {
			if !f.waitReady(10 * time.Second) {
				return false, fmt.Errorf("%w: %s is not ready", errCannotRun, f.name)
			}
		}
		time.Sleep(time.Second)
	}
	s.note("%d requests with a dropped key ran too late", late)
	return late == 0, nil
}
