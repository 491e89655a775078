//go:build review

package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"example.org/lagoonfork/pkg/store"
)

// worker is a worker of a service that is started again after a crash. It follows the pages: it
// registers itself in the store, echoes the identifier of a request, seals its responses and refuses
// requests that expect another instance.
type worker struct {
	fleet   *fleet
	service string
	zone    string
	address string
	// restartID returns the identifier of the next start. By default it is that of the first.
	restartID func(starts int) string
	// run answers a request. It may crash the worker.
	run func(w *worker, rw http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	id      string
	born    int64
	seq     int
	starts  int
	running int
	up      bool
	leaving bool
	server  *http.Server
	conns   map[net.Conn]bool
	stop    chan struct{} // ends the heartbeats
	closed  bool
}

// startWorker starts a worker and registers it.
func (f *fleet) startWorker(w *worker) error {
	w.fleet = f
	address, err := freeAddress()
	if err != nil {
		return err
	}
	w.address = address
	f.workers = append(f.workers, w)
	return w.start()
}

func (w *worker) start() (err error) {
	var l net.Listener
	for range 50 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return l.Close()
	}
	if w.starts > 0 && w.restartID != nil {
		w.id = w.restartID(w.starts)
	}
	w.starts++
	w.up, w.born, w.seq, w.running = true, time.Now().UnixMilli(), 0, 0
	w.conns, w.stop = make(map[net.Conn]bool), make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), ConnState: w.track}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server) // ends with the server
	go w.beat(w.stop)
	w.fleet.printf("worker %s starts for the %d. time", w.id, w.starts)
	return nil
}

// beat writes the record of the worker until stop is closed.
func (w *worker) beat(stop chan struct{}) {
	for {
		w.mu.Lock()
		w.seq++
		key, state := "servers/"+w.id, "ready"
		if w.leaving {
			state = "draining"
		}
		data, err := json.Marshal(map[string]any{
			"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": 64,
			"state": state, "coldLeftMs": 0, "seq": w.seq, "born": w.born,
		})
		w.mu.Unlock()
		if err == nil {
			_, err = w.fleet.client.Put(context.Background(), key, data, store.Always, store.NoLease)
		}
		if err != nil {
			w.fleet.printf("the record of a worker was not written: %v", err)
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// track keeps the connections, which a crash resets.
func (w *worker) track(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(w.conns, c)
		return
	}
	w.conns[c] = true
}

// crash ends the worker as the end of its process does, and starts it again after a time.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	close(w.stop)
	server, lost, id := w.server, w.running, w.id
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
	w.fleet.printf("worker %s crashes with %d requests in progress", id, lost)
	time.AfterFunc(silence, func() { w.expire(id) })
	time.AfterFunc(down, func() {
		if err := w.start(); err != nil {
			w.fleet.printf("worker %s does not start: %v", w.id, err)
		}
	})
}

// drain has the worker leave: it reports that it is draining, serves for the given time and ends.
func (w *worker) drain(serves time.Duration) {
	w.mu.Lock()
	w.leaving = true
	stop := w.stop
	w.stop = make(chan struct{})
	close(stop)
	go w.beat(w.stop) // writes the record at once
	id := w.id
	w.mu.Unlock()
	w.fleet.printf("worker %s is draining", id)
	time.Sleep(serves)
	w.close()
	w.expire(id)
	w.fleet.printf("worker %s has ended", id)
}

// expire removes the record under an identifier after three heartbeats of silence, unless the worker
// has started again under it.
func (w *worker) expire(id string) {
	w.mu.Lock()
	alive := w.up && w.id == id
	w.mu.Unlock()
	if alive {
		return
	}
	if err := w.fleet.client.Delete(context.Background(), "servers/"+id, store.Always); err != nil {
		w.fleet.printf("the record of worker %s was not removed: %v", id, err)
	}
}

func (w *worker) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.up {
		w.up = false
		close(w.stop)
		_ = w.server.Close()
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id := w.id
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running--
	}()
	attempt := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", attempt)
	if r.Header.Get("X-Expect-Instance") != id {
		rw.Header().Set("X-Instance", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.fleet.printf("request %s %s reaches worker %s", attempt, r.URL.Path, id)
	rw.Header().Set("X-Server-Seal", "seal-"+attempt)
	w.run(w, rw, r)
}

// stream answers with events at an interval, which continue after the Last-Event-Id of the request.
func stream(rw http.ResponseWriter, r *http.Request, events int, interval time.Duration) {
	rw.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s/%d\n\n", n, r.Header.Get("X-Attempt-Id"), n); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-time.After(interval):
		case <-r.Context().Done():
			return
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	seal   string
	err    error // the response is incomplete or there is none
}

// whole reports whether the answer is a complete success.
func (a answer) whole() bool { return a.err == nil && a.status == http.StatusOK }

// call is one attempt of a client.
type call struct {
	method, path, body string
	id, key            string
	deadline           time.Duration
	leaves             time.Duration // when the client closes the connection; 0: at the deadline
	header             map[string]string
}

// send sends a call on a new connection.
func send(address string, c call) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(c.leaves, c.deadline))
	defer cancel()
	var body io.Reader
	if c.body != "" {
		body = newBody(c.body)
	}
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", c.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(data), seal: response.Header.Get("X-Server-Seal"), err: errors.Join(err, response.Body.Close())}
}

// newBody hides the type of the reader, so that net/http does not send the request again.
func newBody(s string) io.Reader {
	reader, writer := io.Pipe()
	go func() {
		_, err := io.WriteString(writer, s)
		_ = writer.CloseWithError(err)
	}()
	return reader
}
