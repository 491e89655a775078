package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/embedded"
	"example.org/lagoonfork/internal/fake/plainservice"
	"example.org/lagoonfork/internal/processtest"
)

// Numbers of callers, fixed with the bounds on the code before limits for all callers.
const (
	headCallers   = 200     // with a head each, complete or not
	bodyCallers   = 96      // with a body of the maximum size each
	peerCallers   = 160     // with a body each at the endpoint for other routers
	peerListBytes = 800_000 // that one call of another router may have
	silentCallers = 700     // with a connection each; more than the VM's descriptors
	// responseCallers callers get a response of responseBytes each, or a third of them one of nearly the
	// maximum size.
	responseCallers      = 48
	responseBytes        = 4 << 20
	largestResponseBytes = 15 << 20
	// settleTime is how long the router has to take in what the callers have sent before its
	// resources are read.
	settleTime = 1500 * time.Millisecond
)

// send sends a complete request with a body and waits for the response.
func send(c net.Conn, head, body string) {
	go func() { _, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body) }()
	if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// TestUnfinishedHeads guards against heads of many short lines that stop just short of their end
// and together exhaust the memory, at each endpoint.
func TestUnfinishedHeads(t *testing.T) {
	for _, name := range []string{"callers", "peers"} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			head := processtest.ManyLines(s.head("POST", chatPath), maxHeadBytes)
			processtest.Each(s.connect(s.addresses()[name], headCallers), func(_ int, c net.Conn) { _, _ = io.WriteString(c, head) })
			time.Sleep(settleTime)
			s.check()
		})
	}
}

// TestManyHeaderLines guards against requests of legal size with many short header lines that
// together exhaust the memory while they are forwarded.
func TestManyHeaderLines(t *testing.T) {
	s := newSystem(t)
	head := processtest.ManyLines(s.head("PUT", plainPath), maxHeadBytes-len("Content-Length: 0\r\n"))
	processtest.Each(s.connect(s.callerAddress, headCallers), func(_ int, c net.Conn) { send(c, head, "") })
	s.check()
}

// TestOddHeads guards against malformed or endless heads that exhaust the memory, at each endpoint.
func TestOddHeads(t *testing.T) {
	for _, name := range []string{"callers", "peers"} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			processtest.Each(s.connect(s.addresses()[name], headCallers), func(n int, c net.Conn) {
				processtest.SendOddHead(c, n, s.head("POST", chatPath), maxHeadBytes)
			})
			time.Sleep(settleTime)
			s.check()
		})
	}
}

// TestUnfinishedBodies guards against many bodies of legal size at once that together exhaust
// the memory, and keep ordinary callers out by stopping just short of their end.
func TestUnfinishedBodies(t *testing.T) {
	body := fill(`{"messages":"`, "x", `"}`)
	for _, form := range []string{"whole", "pieces", "chunked"} {
		t.Run(form, func(t *testing.T) {
			s := newSystem(t)
			processtest.Each(s.connect(s.callerAddress, bodyCallers), func(_ int, c net.Conn) {
				processtest.SendUnfinishedBody(c, form, s.head("POST", chatPath), body)
			})
			time.Sleep(settleTime)
			s.check()
		})
	}
}

// longChat returns a slow chat request of the maximum size: start, which begins with the messages,
// as many repetitions of a text as fit, and end.
func longChat(start, repeated, end string) string {
	return fill(fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":%s`, model, slowTokens, start), repeated, end+"}")
}

// manyFields returns as many fields as a body of the maximum size holds beside a message.
func manyFields() string {
	var b strings.Builder
	for n := 0; b.Len() < maxBodyBytes-200; n++ {
		fmt.Fprintf(&b, `,"%x":0`, n)
	}
	return b.String()
}

// TestManyBodies guards against many complete bodies of legal size at once that together exhaust
// the memory while they are decoded and until the upstream responds, whatever they consist of.
func TestManyBodies(t *testing.T) {
	const message = `[{"role":"user","content":"hello"}]`
	for _, c := range []struct{ name, method, path, body string }{
		{"prompt", "POST", chatPath, longChat(`[{"role":"user","content":"`, "x ", `"}]`)},
		{"escapes", "POST", chatPath, longChat(`[{"role":"user","content":"`, "<", `"}]`)},
		{"parts", "POST", chatPath, longChat(`[{"role":"user","content":[{"type":"text","text":"a"}`, `,{"type":"text","text":""}`, `]}]`)},
		{"messages", "POST", chatPath, longChat(`[{}`, `,{}`, `]`)},
		{"numbers", "POST", chatPath, longChat(message+`,"x":[0`, `,0`, `]`)},
		{"fields", "POST", chatPath, longChat(message+manyFields(), "", "")},
		{"plain", "PUT", plainPath, fill("", "x", "")},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.LessOrEqual(t, len(c.body), maxBodyBytes)
			s := newSystem(t)
			processtest.Each(s.connect(s.callerAddress, bodyCallers), func(_ int, conn net.Conn) { send(conn, s.head(c.method, c.path), c.body) })
			s.check()
		})
	}
}

// TestCallersThatLeave guards against requests with an idempotency key, which go on after their
// callers have left, and so are held without a connection.
func TestCallersThatLeave(t *testing.T) {
	s := newSystem(t)
	body := longChat(`[{"role":"user","content":"`, "x ", `"}]`)
	processtest.Each(s.connect(s.callerAddress, bodyCallers), func(n int, c net.Conn) {
		_, _ = fmt.Fprintf(c, "%sIdempotency-Key: k%d\r\nContent-Length: %d\r\n\r\n%s", s.head("POST", chatPath), n, len(body), body)
		time.Sleep(settleTime / 3)
		_ = c.Close()
	})
	s.check()
}

// TestManyResponses guards against large responses of plain services that together exhaust the memory:
// of callers that do not read them, and of requests with an idempotency key, which are held for
// repetitions.
func TestManyResponses(t *testing.T) {
	for _, c := range []struct {
		name           string
		held           bool
		callers, bytes int
	}{
		{"unread", false, responseCallers, responseBytes},
		{"held", true, responseCallers, responseBytes},
		{"largest unread", false, responseCallers / 3, largestResponseBytes},
		{"largest held", true, responseCallers / 3, largestResponseBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			s.setPlainFaults(plainservice.Faults{ExcessBytes: c.bytes})
			processtest.Each(s.connect(s.callerAddress, c.callers), func(n int, conn net.Conn) {
				head := s.head("PUT", plainPath)
				if c.held {
					send(conn, fmt.Sprintf("%sIdempotency-Key: k%d\r\n", head, n), "")
					return
				}
				_, _ = fmt.Fprintf(conn, "%sContent-Length: 0\r\n\r\n", head)
			})
			time.Sleep(settleTime)
			s.check()
		})
	}
}

// TestPeerBodies guards against bodies at the endpoint for other routers that together exhaust the
// memory, with the fleet's secret and without.
func TestPeerBodies(t *testing.T) {
	for name, secret := range map[string]string{"secret": embedded.Secret, "wrong": "x"} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			head := "POST /peer/v1/records HTTP/1.1\r\nHost: p\r\nX-Peer-Secret: " + secret + "\r\n"
			body := fill(`["`, "x", `"]`)
			processtest.Each(s.connect(s.peerAddress, peerCallers), func(_ int, c net.Conn) {
				processtest.SendUnfinishedBody(c, "whole", head, body)
			})
			time.Sleep(settleTime)
			s.check()
		})
	}
}

// TestPeerLists guards against lists of very many short elements at the endpoint for other routers, which
// take much more memory than their bytes once they are decoded. None of them is valid.
func TestPeerLists(t *testing.T) {
	for name, element := range map[string]string{"numbers": ",0", "objects": `,{"open":{"claim":0}}`} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			head := "POST /peer/v1/records HTTP/1.1\r\nHost: p\r\nX-Peer-Secret: " + embedded.Secret + "\r\n"
			body := "[" + element[1:] + strings.Repeat(element, peerListBytes/len(element)) + "]"
			processtest.Each(s.connect(s.peerAddress, peerCallers), func(_ int, c net.Conn) { send(c, head, body) })
			s.check()
		})
	}
}

// TestSilentConnections guards against connections that send nothing and take all descriptors, at
// each endpoint.
func TestSilentConnections(t *testing.T) {
	for _, name := range []string{"callers", "peers"} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t)
			s.connect(s.addresses()[name], silentCallers)
			time.Sleep(settleTime)
			s.check()
		})
	}
}

// TestWrongKeys guards against requests with a wrong key that get memory for their bodies before
// they are refused, or that are not told why.
func TestWrongKeys(t *testing.T) {
	s := newSystem(t)
	processtest.Each(s.connect(s.callerAddress, bodyCallers), func(_ int, c net.Conn) {
		head := strings.Replace(s.head("POST", chatPath), "Bearer ", "Bearer x", 1)
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\nx", head, maxBodyBytes)
		assert.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if assert.NoError(t, err) {
			assert.Equal(t, http.StatusUnauthorized, response.StatusCode)
		}
	})
	s.check()
}

// TestLegalRequests guards against limits that refuse a single request within the limits of the
// settings: with a prompt of the maximum size, or with many header lines.
func TestLegalRequests(t *testing.T) {
	s := newSystem(t)
	require.NoError(t, s.call(strings.Repeat("x ", maxBodyBytes/2-100)))
	c := s.connect(s.callerAddress, 1)[0]
	_, err := io.WriteString(c, processtest.ManyLines(s.head("GET", "/v1/models"), maxHeadBytes)+"\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	assert.Equal(t, http.StatusOK, response.StatusCode)
	s.check()
}

// TestLegalResponse guards against limits that refuse a single response of nearly the maximum size.
func TestLegalResponse(t *testing.T) {
	s := newSystem(t)
	s.setPlainFaults(plainservice.Faults{ExcessBytes: largestResponseBytes})
	c := s.connect(s.callerAddress, 1)[0]
	_, err := fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", s.head("PUT", plainPath))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	size, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Greater(t, size, int64(largestResponseBytes))
	s.check()
}

// TestLegalChats guards against limits that refuse a single chat request of the maximum size, because of
// what it consists of.
func TestLegalChats(t *testing.T) {
	const message = `{"role":"user","content":"hello"}`
	const text = `{"messages":[{"role":"user","content":"`
	for _, c := range []struct{ name, start, repeated, end string }{
		{"prompt", text, "x ", `"}]`},
		{"escapes", text, `\u00e9\n\"\\`, `"}]`},
		{"characters", text, "<&>é\u2028", `"}]`},
		{"messages", `{"messages":[` + message, `,{"role":"user","content":"` + strings.Repeat("x", 240) + `"}`, "]"},
		{"parts", `{"messages":[{"role":"user","content":[{"type":"text","text":"a"}`, `,{"type":"text","text":"<\n"}`, `]}]`},
		{"parts of many messages", `{"messages":[` + message, `,{"role":"user","content":[` + strings.Repeat(`{"type":"text","text":""},`, 12) + `{"type":"text","text":"a"}]}`, "]"},
		{"fields of a message", `{"messages":[{"role":"user","content":[{"type":"text","text":"a"}]`, `,"x":0`, `}]`},
		{"unknown list", `{"messages":[` + message + `],"x":[0`, `,{}`, `]`},
		{"unknown fields", `{"messages":[` + message + "]", `,"":0`, ""},
		{"tools", `{"messages":[` + message + `],"tools":[{}`, `,{"type":"function"}`, `]`},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t)
			body := fill(c.start, c.repeated, c.end+fmt.Sprintf(`,"model":%q,"max_tokens":1}`, model))
			require.Greater(t, len(body), maxBodyBytes-1000)
			conn := s.connect(s.callerAddress, 1)[0]
			go func() {
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", s.head("POST", chatPath), len(body), body)
			}()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			answer, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode, "%s", answer)
			s.check()
		})
	}
}
