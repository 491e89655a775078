//go:build review

package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	configApply   = 2 * time.Second // configApplyMs
	keysWorkers   = 3
	keysRequests  = 20 // of each client, to each router
	keysSendPause = 100 * time.Millisecond
)

const keysConfiguration = `{"version":%d,"routes":[
 {"name":"r","host":"site.example","prefix":"/permit/","kind":"unsafe","timeoutMs":800,"goalMs":300,"priority":2,"service":"app","attempts":1}],
 "services":[{"name":"app","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000},
 "tenants":[%s]}`

func init() { cases["keys"] = playKeys }

// playKeys takes the only tenant, with its key, out of the configuration.
func playKeys(s *stage, root string) (held bool, err error) {
	const tenant = `{"name":"one","apiKeys":["key-one"],"prepaid":1000000}`
	s.put("op/config", fmt.Sprintf(keysConfiguration, 1, tenant))
	var ran atomic.Int64
	handle := func(q *run) {
		time.Sleep(20 * time.Millisecond)
		if strings.HasPrefix(q.id, "after-") {
			ran.Add(1)
			s.note("worker %s runs request %s of tenant %q", q.worker.id, q.id, q.tenant)
		}
		q.writer.Header().Set("X-Server-Seal", "seal-"+q.worker.id)
		_, _ = fmt.Fprintf(q.writer, "permit for %s", q.id)
	}
	for n := range keysWorkers {
		w, err := s.startWorker(fmt.Sprintf("i-%d", n), "app", fmt.Sprintf("zone-%d", n%3), freeAddress(), handle)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := s.startFronts(root, 3); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	ask := func(f *front, id, key string) answer {
		a := send(f.address, ask{id: id, host: "site.example", path: "/permit/x", key: key, body: "permit", deadline: 1500 * time.Millisecond})
		s.note("request %s with %s to %s: status %d, sealed %v, %v", id, key, f.name, a.status, a.sealed, a.err)
		return a
	}
	for n, f := range s.fronts {
		known, unknown := ask(f, fmt.Sprintf("before-known-%d", n), "key-one"), ask(f, fmt.Sprintf("before-unknown-%d", n), "key-never")
		if known.status != 200 || unknown.status != 401 {
			return false, fmt.Errorf("%w: %s answers %d and %d before the change", errCannotRun, f.name, known.status, unknown.status)
		}
	}
	tenants := ""
	if !s.trouble {
		tenants = `{"name":"one","apiKeys":[],"prepaid":1000000}` // the tenant stays, without a key
	}
	s.put("op/config", fmt.Sprintf(keysConfiguration, 2, tenants))
	s.note("version 2 is acknowledged")
	time.Sleep(configApply + time.Second)
	served := 0
	for range keysRequests {
		for n, f := range s.fronts {
			for _, key := range []string{"key-one", "key-never"} {
				if ask(f, fmt.Sprintf("after-%s-%d-%d", key, n, time.Now().UnixNano()), key).status == 200 {
					served++
				}
			}
		}
		time.Sleep(keysSendPause)
	}
	s.note("%d requests ran, %d of %d were served with a key that is not in the configuration", ran.Load(), served, 2*keysRequests*len(s.fronts))
	return ran.Load() == 0 && served == 0, nil
}
