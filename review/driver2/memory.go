//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryWorkers = 24
	memoryBytes   = 134_000_000 // memoryMb of the machine
	crowdSize     = 1500        // clients; the router accepts 1,363 connections with its settings
	crowdBody     = 18_000      // bytes; a dossier has 17,000 on average and 100,000 at most
	crowdParts    = 64          // of a prompt
	crowdEvents   = 3000
	crowdEvent    = 300 // bytes of an event, the largest of the sheets
	crowdGap      = 2 * time.Millisecond
	crowdLength   = 14 * time.Second
	// A day counts as a fault if on two machines at least processes end three times.
	faultMachines, faultEnds = 2, 3
	// minDescriptors is what the clients and the workers of this process need.
	minDescriptors = 6000
)

// residentBytes returns the resident memory of a process, and the part of it that is not of files such
// as the program's text.
func residentBytes(pid int) (all, anonymous int64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "VmRSS" && name != "RssAnon" {
			continue
		}
		kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
		if name == "VmRSS" {
			all = kilobytes * 1024
		} else {
			anonymous = kilobytes * 1024
		}
	}
	return all, anonymous
}

func init() { cases["memory"] = playMemory }

// playMemory lets a crowd of clients that nobody controls send a request of legal size each, and read
// nothing of the answers. Like the platform, it kills a router that exceeds its memory and starts it again.
func playMemory(s *stage, root string) (held bool, err error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < minDescriptors {
		return false, fmt.Errorf("%w: %d descriptors are too few", errCannotRun, limit.Cur)
	}
	s.put("op/config", plentyConfiguration)
	handle := func(q *run) {
		s.note("worker %s runs request %s", q.worker.id, q.id)
		if !strings.HasPrefix(q.id, "crowd") {
			time.Sleep(20 * time.Millisecond)
			q.stream(10)
			return
		}
		h := q.writer.Header()
		h.Set("X-Server-Seal", "seal-"+q.worker.id)
		h.Set("Content-Type", "text/event-stream")
		data := strings.Repeat("x", crowdEvent-20)
		for n := 1; n <= crowdEvents && q.http.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(q.writer, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
			q.writer.(interface{ Flush() }).Flush()
			time.Sleep(crowdGap)
		}
	}
	for n := range memoryWorkers {
		w, err := s.startWorker(fmt.Sprintf("i-%d", n), "llm", fmt.Sprintf("zone-%d", n%3), freeAddress(), handle)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := s.startFronts(root, 3); err != nil {
		return false, err
	}
	time.Sleep(contact)
	ended := make(map[string]int)
	for _, target := range s.fronts[:faultMachines] {
		for range faultEnds {
			killed, err := s.playCrowd(target)
			if err != nil {
				return false, err
			}
			if !killed {
				break
			}
			ended[target.name]++
			if err := target.start(); err != nil {
				return false, err
			}
			if !target.waitReady(15 * time.Second) {
				return false, fmt.Errorf("%w: %s is not ready", errCannotRun, target.name)
			}
		}
	}
	machines := 0
	for name, n := range ended {
		s.note("%s ended %d times", name, n)
		if n >= faultEnds {
			machines++
		}
	}
	return machines < faultMachines, nil
}

// playCrowd sends the crowd to a router, beside ordinary clients, and kills the router if it exceeds its
// memory. Without the disruption there is no crowd.
func (s *stage) playCrowd(target *front) (killed bool, err error) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if s.trouble {
		s.note("%d clients send a request each to %s", crowdSize, target.name)
		for n := range crowdSize {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				send(target.address, ask{
					id: fmt.Sprintf("crowd-%d-%d", n, time.Now().UnixNano()), host: "site.example", path: "/dossier/x", key: "key-one", body: strings.Repeat("b", crowdBody),
					tokens: fmt.Sprintf("300,%d", crowdEvents*stride), prefix: strings.Repeat("a:1,", crowdParts-1) + fmt.Sprintf("%04x:100", n),
					deadline: 10 * time.Second, slow: true, stop: stop,
				})
			})
		}
	}
	var sound, served atomic.Int64
	most := int64(0)
	begin := time.Now()
	for n := 0; time.Since(begin) < crowdLength && !killed; n++ {
		time.Sleep(20 * time.Millisecond)
		used, anonymous := residentBytes(target.command.Process.Pid)
		most = max(most, used)
		switch {
		case used > memoryBytes:
			s.note("%s holds %d bytes (%d without files), more than %d: it is killed", target.name, used, anonymous, memoryBytes)
			target.kill()
			killed = true
		case !target.running():
			close(stop)
			return false, fmt.Errorf("%w: %s has ended", errCannotRun, target.name)
		case n%50 == 0:
			s.note("%s holds %d bytes", target.name, used)
			wg.Go(func() {
				id := fmt.Sprintf("ordinary-%d-%d", n, time.Now().UnixNano())
				a := send(target.address, ask{
					id: id, host: "site.example", path: "/dossier/x", key: "key-one", body: "ordinary",
					tokens: "300,40", prefix: fmt.Sprintf("cc:200,dd%04x:100", n), deadline: 10 * time.Second,
				})
				s.note("request %s to %s ends: status %d, complete %v, %v", id, target.name, a.status, a.complete, a.err)
				sound.Add(1)
				if a.status == 200 && a.complete {
					served.Add(1)
				}
			})
		}
	}
	close(stop)
	wg.Wait()
	s.note("%s held at most %d bytes of %d; %d of %d ordinary requests were served", target.name, most, memoryBytes, served.Load(), sound.Load())
	return killed, nil
}
