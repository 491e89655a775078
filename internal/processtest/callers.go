package processtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// ManyLines returns a head of at most size bytes, without the empty line at its end, that is
// filled up with short header lines, each with another name.
func ManyLines(start string, size int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString(start)
	for n := 0; b.Len()+len("xyz:\r\n")+len("\r\n") <= size; n++ {
		name := []byte{digits[n%len(digits)], digits[n/len(digits)%len(digits)]}
		if n >= len(digits)*len(digits) {
			name = append(name, 'a')
		}
		b.Write(name)
		b.WriteString(":\r\n")
	}
	return b.String()
}

// SendOddHead sends a malformed or endless head: lines that are not headers, continued lines, a head
// without end, or empty lines without end before a request. start is the head of an ordinary
// request without the empty line at its end, of which maxBytes are permitted. n selects what is sent.
func SendOddHead(c net.Conn, n int, start string, maxBytes int) {
	streams := []struct {
		start, repeated string
		size            int
	}{
		{start, "\x01:\r\n", maxBytes},
		{start, ":\r\n", maxBytes},
		{start, "a\r\n", maxBytes},
		{start + "A: b\r\n", " c\r\n", maxBytes},
		{start, "a:\r\n", maxBytes},
		{start, "abcdefg: h\r\n", 64 * maxBytes},
		{start + "A: ", "b", 64 * maxBytes},
		{"", "\r\n", 64 * maxBytes},
		{"", "a", 64 * maxBytes},
	}
	stream := streams[n%len(streams)]
	go func() { _, _ = io.Copy(io.Discard, c) }()
	if _, err := io.WriteString(c, stream.start); err != nil {
		return
	}
	piece := strings.Repeat(stream.repeated, 4096/len(stream.repeated))
	for sent := len(stream.start); sent+len(piece) < stream.size; sent += len(piece) {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
	}
}

// SendUnfinishedBody sends a request whose body stops just short of its end: "whole" in one write,
// in "pieces", or "chunked" without a length. head is that of an ordinary request without a length
// and without the empty line at its end.
func SendUnfinishedBody(c net.Conn, form, head, body string) {
	const piece = 32 << 10
	switch form {
	case "whole":
		_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body[:len(body)-1]))
	case "pieces":
		_, _ = io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body)))
		for ; len(body) > piece; body = body[piece:] {
			if _, err := io.WriteString(c, body[:piece]); err != nil {
				return
			}
		}
	case "chunked":
		_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
		for ; len(body) > 0; body = body[min(piece, len(body)):] {
			next := body[:min(piece, len(body))]
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(next), next); err != nil {
				return
			}
		}
	}
}

// Connect opens n connections to an address. They are closed at the end of the test.
func Connect(t *testing.T, address string, n int) (all []net.Conn) {
	for range n {
		c, err := net.DialTimeout("tcp", address, Timeout)
		if !assert.NoError(t, err) {
			return all
		}
		t.Cleanup(func() { _ = c.Close() })
		all = append(all, c)
	}
	return all
}

// Each calls act for all connections at once and waits for the calls to end. Writes and reads
// fail after Timeout, and act may ignore their errors, as the router may close a connection of
// such a caller at any time.
func Each(all []net.Conn, act func(n int, c net.Conn)) {
	var wg sync.WaitGroup
	for n, c := range all {
		_ = c.SetDeadline(time.Now().Add(Timeout))
		wg.Go(func() { act(n, c) })
	}
	wg.Wait()
}
