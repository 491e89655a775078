//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment.
const (
	heartbeat  = 1200 * time.Millisecond
	slots      = 64
	stride     = 4       // tokens of an event
	kvTokens   = 384_268 // memory of an engine in tokens
	eventPause = 5 * time.Millisecond
)

// run is one request at a worker.
type run struct {
	worker *worker
	writer http.ResponseWriter
	http   *http.Request
	id     string // X-Attempt-Id
	tenant string
	body   string
	prompt int64 // tokens
	output int64 // most tokens
	after  int   // Last-Event-Id
}

// worker is a model worker: one process of the platform, played by a listener.
type worker struct {
	s       *stage
	id      string
	service string
	zone    string
	address string
	handle  func(*run)

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	down     bool
	born     int64
	sequence int
	running  int
	stop     chan struct{}
}

// startWorker starts a worker and registers it. handle plays its requests.
func (s *stage) startWorker(id, service, zone, address string, handle func(*run)) (*worker, error) {
	w := &worker{s: s, id: id, service: service, zone: zone, address: address, handle: handle, stop: make(chan struct{})}
	if err := w.listen(); err != nil {
		return nil, err
	}
	go w.beat()
	return w, nil
}

func (w *worker) listen() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	w.mu.Lock()
	w.address, w.listener, w.conns, w.down = l.Addr().String(), l, make(map[net.Conn]bool), false
	w.born, w.sequence, w.running = time.Now().UnixMilli(), 0, 0
	conns := w.conns
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: func(c net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(conns, c)
		} else {
			conns[c] = true
		}
	}}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }() // ends with the listener
	w.register()
	return nil
}

// register writes the record of the worker.
func (w *worker) register() {
	w.mu.Lock()
	w.sequence++
	value := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":1,"slots":%d,"state":"ready","coldLeftMs":0,"seq":%d,"born":%d}`,
		w.service, w.address, w.zone, slots, w.sequence, w.born)
	w.mu.Unlock()
	w.s.put("servers/"+w.id, value)
}

func (w *worker) beat() {
	for {
		select {
		case <-time.After(heartbeat):
		case <-w.stop:
			return
		}
		w.mu.Lock()
		down := w.down
		w.mu.Unlock()
		if !down {
			w.register()
		}
	}
}

// crash ends the process: no new connection is accepted, and the open ones are reset. It reports
// whether the worker was running.
func (w *worker) crash() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return false
	}
	w.down = true
	_ = w.listener.Close()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

// end ends the worker for good.
func (w *worker) end() {
	w.crash()
	close(w.stop)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt, output, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	q := &run{worker: w, writer: rw, http: r, id: r.Header.Get("X-Attempt-Id"), tenant: r.Header.Get("X-Tenant"), body: string(body)}
	q.prompt, _ = strconv.ParseInt(prompt, 10, 64)
	q.output, _ = strconv.ParseInt(output, 10, 64)
	q.after, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
		q.http = r.WithContext(ctx)
	}
	w.mu.Lock()
	w.running++
	load := fmt.Sprintf("%d,0,%d", w.running, slots)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	rw.Header().Set("X-Attempt-Id", q.id)
	rw.Header().Set("X-Server-Load", load)
	w.handle(q)
}

// reject answers that the request has not run.
func (q *run) reject() {
	q.writer.Header().Set("X-Not-Run", "1")
	q.writer.WriteHeader(http.StatusServiceUnavailable)
}

// stream answers with events after the one that the caller has, up to the given number, and
// returns how many were written.
func (q *run) stream(events int) (written int) {
	h := q.writer.Header()
	h.Set("X-Server-Seal", "seal-"+q.worker.id)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for n := q.after + 1; n <= events; n++ {
		if q.http.Context().Err() != nil {
			return written
		}
		if _, err := fmt.Fprintf(q.writer, "id: %d\ndata: %s/%d\n\n", n, q.id, n); err != nil {
			return written
		}
		if http.NewResponseController(q.writer).Flush() != nil {
			return written
		}
		written++
		time.Sleep(eventPause)
	}
	return written
}
