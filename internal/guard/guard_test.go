package guard

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/callerlimit"
)

// startServer starts a guarded server and returns its address.
func startServer(t *testing.T, r *callerlimit.Registry, h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := New(Settings{Registry: r, Clock: time.Now})
	server := &http.Server{Handler: h, ConnContext: g.ConnContext, ConnState: g.ConnState}
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// echo responds with the body, or with the reason why it cannot be read.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, 1<<20)
	switch {
	case errors.Is(err, ErrNoMemory):
		Refuse(w, time.Now())
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, piece := range body {
		_, _ = w.Write(piece)
	}
}

func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c
}

// receive reads a response and returns its status and body.
func receive(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(data)
}

// TestRequestsOnOneConnection guards against requests that the guard changes or that it counts
// for good: with a length, in chunks, without a body, and several sent at once, in pieces of
// various sizes.
func TestRequestsOnOneConnection(t *testing.T) {
	long := strings.Repeat("line\r\n\r\n", 12_000)
	var b strings.Builder
	want := []string{"", "ab", "", "abc", "", long, long, "end"}
	for n, body := range want {
		if n%2 == 0 {
			fmt.Fprintf(&b, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		fmt.Fprintf(&b, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nTrailer: x\r\n\r\n", len(body), body)
	}
	for _, size := range []int{7, 100, 4096, b.Len()} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			r := callerlimit.New(callerlimit.Limits{Connections: 2, Memory: 8 << 20})
			c := dial(t, startServer(t, r, echo))
			go func() {
				for data := b.String(); len(data) > 0; data = data[min(size, len(data)):] {
					_, _ = io.WriteString(c, data[:min(size, len(data))])
				}
			}()
			responses := bufio.NewReader(c)
			for n, body := range want {
				response, got := receive(t, responses)
				require.Equal(t, http.StatusOK, response.StatusCode, "request %d: %s", n, got)
				require.Equal(t, body, got, "request %d", n)
			}
			require.Eventually(t, func() bool { return r.State().Memory == 0 }, time.Minute, time.Millisecond)
			assert.Equal(t, callerlimit.Counts{}, r.State().Counts)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return r.State().Connections == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// TestRefusal guards against a request without memory that is read, or refused without a time to
// come back, and against memory that the refused one keeps.
func TestRefusal(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 3000)
	for name, request := range map[string]string{
		"head":    "GET / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n",
		"body":    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n\r\n",
		"chunked": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", 400),
	} {
		t.Run(name, func(t *testing.T) {
			r := callerlimit.New(callerlimit.Limits{Memory: 400 << 10})
			address := startServer(t, r, echo)
			c := dial(t, address)
			go func() { _, _ = io.WriteString(c, request) }()
			response, _ := receive(t, bufio.NewReader(c))
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
			assert.True(t, response.Close)
			assert.Positive(t, r.State().MemoryRefused)
			require.Eventually(t, func() bool { return r.State().Memory == 0 && r.State().Connections == 0 }, time.Minute, time.Millisecond)
			c = dial(t, address)
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			require.NoError(t, err)
			response, _ = receive(t, bufio.NewReader(c))
			assert.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}

// TestCutOffBodyIsNotComplete guards against the first part of an upload that is taken for all
// of it, wherever the caller leaves.
func TestCutOffBodyIsNotComplete(t *testing.T) {
	for _, head := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		for _, size := range []int{1, firstPieceBytes - 100, pieceBytes, 2*pieceBytes + 5} {
			failed := make(chan error, 1)
			address := startServer(t, callerlimit.New(callerlimit.Limits{}), func(_ http.ResponseWriter, r *http.Request) {
				_, err := ReadBody(r, 1<<20)
				failed <- err
			})
			c := dial(t, address)
			body := strings.Repeat("x", size)
			if strings.HasPrefix(head, "T") {
				body = fmt.Sprintf("%x\r\n%s\r\n", size, body)
			}
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n"+head+"\r\n\r\n"+body)
			require.NoError(t, err)
			require.NoError(t, c.Close())
			assert.Error(t, <-failed, "%s, %d bytes", head, size)
		}
	}
}

// TestNewcomerTakesThePlaceOfSilentConnection guards against connections that send nothing and
// keep ordinary callers out.
func TestNewcomerTakesThePlaceOfSilentConnection(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{Connections: 3})
	address := startServer(t, r, echo)
	var silent []net.Conn
	for range 3 {
		silent = append(silent, dial(t, address))
	}
	c := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, _ := receive(t, bufio.NewReader(c))
	assert.Equal(t, http.StatusOK, response.StatusCode)
	_, err = silent[0].Read(make([]byte, 1))
	assert.Error(t, err)
	assert.Equal(t, 3, r.State().Connections)
}

// TestCountedBodies guards against a handler that reads more than there is memory for.
func TestCountedBodies(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{Memory: 1 << 20})
	read := make(chan error, 1)
	h := Bodies(BodySettings{Factor: 4, Timeout: time.Minute, Clock: time.Now, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		read <- err
	})})
	address := startServer(t, r, h.ServeHTTP)
	c := dial(t, address)
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n")
	require.NoError(t, err)
	response, _ := receive(t, bufio.NewReader(c))
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)

	c = dial(t, address)
	go func() {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n"+strings.Repeat("x", 300_000)+"\r\n0\r\n\r\n")
	}()
	assert.ErrorIs(t, <-read, ErrNoMemory)

	// The memory of the refused request is released when it ends, which is after the handler has read.
	require.Eventually(t, func() bool { return r.State().Memory < 512<<10 }, 10*time.Second, time.Millisecond)
	c = dial(t, address)
	go func() {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100_000))
	}()
	assert.NoError(t, <-read)
}

// newConn returns a guarded connection and the other end of it. afterRead is called just after bytes
// have been read from the network.
func newConn(t *testing.T, r *callerlimit.Registry, afterRead func(c *conn)) (c *conn, far net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	c = &conn{guard: New(Settings{Registry: r, Clock: time.Now})}
	c.Conn = readHook{near, func() { afterRead(c) }}
	entry, ok := r.Open(time.Now(), c.giveUp)
	require.True(t, ok)
	c.entry = entry
	c.guard.add(c)
	return c, far
}

// readHook is a connection that calls a function just after each read.
type readHook struct {
	net.Conn
	afterRead func()
}

// Read implements net.Conn.
func (c readHook) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.afterRead()
	return n, err
}

const shortRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestRequestThatArrivesWhileIdleConnectionsAreClosed guards against a request that is cut off
// because its connection was found idle just before it was read.
func TestRequestThatArrivesWhileIdleConnectionsAreClosed(t *testing.T) {
	c, far := newConn(t, callerlimit.New(callerlimit.Limits{}), func(c *conn) { c.guard.Drain(time.Now()) })
	go func() { _, _ = io.WriteString(far, shortRequest) }()
	b := make([]byte, 100)
	n, err := c.Read(b)
	require.NoError(t, err)
	assert.Equal(t, shortRequest, string(b[:n]))
	go func() { _, _ = io.WriteString(c, "whole") }()
	n, err = far.Read(b)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(b[:n]))
	c.guard.ConnState(c, http.StateIdle)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err = c.Read(b)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "it ends after the response")
}

// TestBytesOfAClosedConnectionAreNotPassedOn guards against a request that is run although its
// connection was closed between the read of its bytes and their use.
func TestBytesOfAClosedConnectionAreNotPassedOn(t *testing.T) {
	c, far := newConn(t, callerlimit.New(callerlimit.Limits{}), func(c *conn) { _ = c.Close() })
	go func() { _, _ = io.WriteString(far, shortRequest) }()
	n, err := c.Read(make([]byte, 100))
	assert.Zero(t, n)
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestRequestOnAConnectionThatIsGivenUpIsRefused guards against a request that gets no response
// because its connection made room for another just before it was read.
func TestRequestOnAConnectionThatIsGivenUpIsRefused(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{Connections: 1})
	c, far := newConn(t, r, func(*conn) { _, _ = r.Open(time.Now(), func(callerlimit.Phase) bool { return true }) })
	refused := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 100))
		refused <- err
		_ = c.Close()
	}()
	_, err := io.WriteString(far, shortRequest)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(far), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	require.NoError(t, far.Close())
	assert.ErrorIs(t, <-refused, io.EOF)
	assert.EqualValues(t, 1, r.State().WaitingClosed)
}

// TestUploadThatHasEndedIsNotGivenUp guards against a request whose connection is closed because the
// last bytes of its slow body have been read, but not counted.
func TestUploadThatHasEndedIsNotGivenUp(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{})
	c, far := newConn(t, r, func(*conn) {})
	b := make([]byte, 100)
	for _, part := range []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", "a"} {
		go func() { _, _ = io.WriteString(far, part) }()
		_, err := c.Read(b)
		require.NoError(t, err)
	}
	_, taken, ok := c.advance(time.Now(), []byte("b"))
	require.True(t, ok)
	require.Equal(t, 1, taken)
	assert.False(t, c.giveUp(callerlimit.Uploading))
	_, _, ok = c.advance(time.Now(), nil)
	assert.True(t, ok, "it is open")
}

// TestHeadThatHasEndedIsNotGivenUp guards against a request whose connection is closed as one with an
// unfinished head, because the end of the head has been read, with the body, but not counted.
func TestHeadThatHasEndedIsNotGivenUp(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{})
	c, far := newConn(t, r, func(*conn) {})
	go func() { _, _ = io.WriteString(far, "POST / HTTP/1.1\r\n") }()
	_, err := c.Read(make([]byte, 100))
	require.NoError(t, err)
	rest := []byte("Host: h\r\nContent-Length: 1\r\n\r\na")
	_, taken, ok := c.advance(time.Now(), rest)
	require.True(t, ok)
	require.Equal(t, len(rest)-1, taken, "the body waits")
	assert.False(t, c.giveUp(callerlimit.Receiving))
	_, _, ok = c.advance(time.Now(), nil)
	assert.True(t, ok, "it is open")
}

// TestDrainKeepsUnusedConnections guards against callers that have just opened a connection, and
// whose request is on its way, losing it when a router stops.
func TestDrainKeepsUnusedConnections(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{})
	c, far := newConn(t, r, func(*conn) {})
	c.accepted = time.Unix(1000, 0)
	c.guard.Drain(c.accepted.Add(-1))
	go func() { _, _ = io.WriteString(far, shortRequest) }()
	b := make([]byte, 100)
	n, err := c.Read(b)
	require.NoError(t, err)
	assert.Equal(t, shortRequest, string(b[:n]))

	c, _ = newConn(t, r, func(*conn) {})
	c.accepted = time.Unix(1000, 0)
	c.guard.Drain(c.accepted)
	_, err = c.Read(b)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// TestRefusalIsWrittenLate guards against a request that gets no response because some time passed
// between the read of its head and the refusal.
func TestRefusalIsWrittenLate(t *testing.T) {
	r := callerlimit.New(callerlimit.Limits{Memory: 1})
	c, far := newConn(t, r, func(*conn) {})
	c.guard.settings.Clock = func() time.Time { return time.Now().Add(-300 * time.Millisecond) }
	go func() { _, _ = c.Read(make([]byte, 100)) }()
	_, err := io.WriteString(far, shortRequest)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(far), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}
