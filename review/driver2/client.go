//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// ask is a request of a client.
type ask struct {
	id, path, body, key string
	host                string
	tokens, prefix      string
	deadline            time.Duration
	slow                bool            // the client does not read its answer
	stop                <-chan struct{} // ends a slow client, if set
	leave               time.Duration   // when the client closes its connection, 0 if it stays
}

// smallWindow is the receive buffer of a client that does not read.
const smallWindow = 8 << 10

// answer is what a client got.
type answer struct {
	status   int // 0 without an answer
	sealed   bool
	body     string
	complete bool
	err      error
}

// events returns the number of events of a stream that arrived completely.
func (a answer) events() int { return strings.Count(a.body, "\n\n") }

// send sends a request on a new connection.
func send(address string, q ask) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		if !q.slow {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow) // a larger window is as good
		})
	}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	end, _ := ctx.Deadline()
	_ = c.SetDeadline(end)
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.path, q.host, q.id, q.deadline.Milliseconds(), q.key)
	if q.tokens != "" {
		fmt.Fprintf(&b, "X-Token-Count: %s\r\n", q.tokens)
	}
	if q.prefix != "" {
		fmt.Fprintf(&b, "X-Prompt-Prefix: %s\r\n", q.prefix)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return answer{err: err}
	}
	if q.leave > 0 {
		time.Sleep(q.leave)
		return answer{err: fmt.Errorf("left after %v", q.leave)}
	}
	if q.slow {
		select {
		case <-time.After(time.Until(end)):
		case <-q.stop:
		}
		return answer{}
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, sealed: response.Header.Get("X-Server-Seal") != "", body: string(data),
		complete: err == nil, err: err,
	}
}
