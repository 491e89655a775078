package engineclient

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/transport"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/eventstream"
	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkNext measures decoding and checking tokens read from memory.
func BenchmarkNext(b *testing.B) {
	const batch = 10_000 // tokens in memory
	var in bytes.Buffer
	for i := 1; i <= batch; i++ {
		fmt.Fprintf(&in, "id: %d\ndata: "+`{"id":"attempt-1","object":"chat.completion.chunk","created":0,"model":"m",`+
			`"choices":[{"index":0,"delta":{"content":"a1b2c3 "},"finish_reason":null}]}`+"\n\n", i)
	}
	c := New(Settings{})
	defer func() { _ = c.Close() }()
	s := &Stream{client: c, peer: newPeer("", "e", transport.Settings{}), run: Run{Attempt: "attempt-1"}}
	s.reader = eventstream.NewReader(nil)
	source := bytes.NewReader(nil)
	b.ReportAllocs()
	for i := range b.N {
		if i%batch == 0 {
			source.Reset(in.Bytes())
			s.reader.Reset(&bodyReader{stream: s, body: source})
			s.received = 0
		}
		if _, err := s.Next(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreamedAnswer reads answers of 100 tokens from a fake engine that
// generates tokens without delay, with the client and, for comparison, with
// net/http alone.
func BenchmarkStreamedAnswer(b *testing.B) {
	const length = 100
	e, err := fake.New(fake.Settings{Slots: 64})
	require.NoError(b, err)
	defer func() { _ = e.Close() }()
	b.Run("client", func(b *testing.B) {
		c := New(Settings{})
		defer func() { _ = c.Close() }()
		up := configuration.Upstream{ID: "e", Address: e.Address()}
		b.ReportAllocs()
		for i := range b.N {
			s, err := c.Start(b.Context(), up, newBenchmarkRun(i, length))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := engine.Collect(b.Context(), s, "a", "m", 0); err != nil {
				b.Fatal(err)
			}
			_ = s.Close()
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*length), "ns/token")
	})
	b.Run("nethttp", func(b *testing.B) {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		b.ReportAllocs()
		for i := range b.N {
			response := startPlain(b, client, e, newBenchmarkRun(i, length))
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*length), "ns/token")
	})
}

// BenchmarkHeldStreams measures the memory of streams that wait for a token,
// with the client and with net/http alone. Both include the fake engine's side
// of the connection; the difference is the overhead of the client.
func BenchmarkHeldStreams(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			var plain, client float64
			for range b.N {
				plain += plainMemoryPerStream(b, n)
				client += clientMemoryPerStream(b, n)
			}
			plain, client = plain/float64(b.N), client/float64(b.N)
			b.ReportMetric(plain, "nethttp-B/stream")
			b.ReportMetric(client, "client-B/stream")
			b.ReportMetric(client-plain, "own-B/stream")
		})
	}
}

func clientMemoryPerStream(b *testing.B, n int) float64 {
	e := newStalledEngine(b, n)
	defer func() { _ = e.Close() }()
	before := memoryInUse()
	c := New(Settings{SilenceLimit: func() time.Duration { return time.Hour }})
	defer func() { _ = c.Close() }()
	up := configuration.Upstream{ID: "e", Address: e.Address()}
	streams := make([]*Stream, n)
	for i := range streams {
		s, err := c.Start(b.Context(), up, newBenchmarkRun(i, 2))
		require.NoError(b, err)
		_, err = s.Next(b.Context())
		require.NoError(b, err)
		streams[i] = s
	}
	used := memoryInUse() - before
	runtime.KeepAlive(streams)
	return used / float64(n)
}

func plainMemoryPerStream(b *testing.B, n int) float64 {
	e := newStalledEngine(b, n)
	defer func() { _ = e.Close() }()
	before := memoryInUse()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	responses := make([]*http.Response, n)
	first := make([]byte, 16)
	for i := range responses {
		responses[i] = startPlain(b, client, e, newBenchmarkRun(i, 2))
		_, err := io.ReadFull(responses[i].Body, first)
		require.NoError(b, err)
	}
	used := memoryInUse() - before
	for _, r := range responses {
		_ = r.Body.Close()
	}
	return used / float64(n)
}

func newStalledEngine(b *testing.B, n int) *fake.Engine {
	e, err := fake.New(fake.Settings{Slots: n, TokenInterval: time.Hour, HeartbeatInterval: time.Hour})
	require.NoError(b, err)
	return e
}

func newBenchmarkRun(i, length int) Run {
	prompt := fake.WithLength("held", length)
	return Run{
		Request: ident.Request(fmt.Sprintf("r%d", i)),
		Attempt: ident.Attempt(fmt.Sprintf("a%d", i)),
		Body:    []byte(`{"model":"m","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"` + prompt + `"}]}`),
	}
}

func startPlain(b *testing.B, client *http.Client, e *fake.Engine, run Run) *http.Response {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.Address().String()+engine.PathCompletions, strings.NewReader(string(run.Body)))
	require.NoError(b, err)
	r.Header.Set(engine.HeaderRequest, string(run.Request))
	r.Header.Set(engine.HeaderAttempt, string(run.Attempt))
	response, err := client.Do(r)
	require.NoError(b, err)
	return response
}

// memoryInUse returns the number of bytes of heap and stack memory in use after
// a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
