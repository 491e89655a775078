package embedded

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/engine"
)

// startBench starts a deployment and returns it with the base URL of one engine
// for direct requests.
func startBench(b *testing.B, routers int, tokenPace time.Duration, slots int) (d *Deployment, direct string) {
	s := Settings{
		Answers: testAnswers(b),
		Routers: routers,
		Direct:  true,
		Timing:  testTiming(),
		Engine:  engine.Settings{TokenInterval: tokenPace},
		Clock:   time.Now,
		Log:     testLog(),
	}
	for i := range s.Answers.Services {
		for j := range s.Answers.Services[i].Upstreams {
			s.Answers.Services[i].Upstreams[j].Slots = slots
		}
	}
	d, err := Start(context.Background(), s)
	require.NoError(b, err)
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_ = d.Close(ctx)
	})
	return d, "http://" + d.Engines["llm-1"].Address().String()
}

// BenchmarkAddedLatency streams the same completion alternately from an engine
// directly and through a router, and reports the ratio of the total times and
// the latency that the router adds per operation.
func BenchmarkAddedLatency(b *testing.B) {
	const tokenPace, length = 20 * time.Millisecond, 24
	d, direct := startBench(b, 1, tokenPace, 64)
	var durations [2]time.Duration
	n := 0
	for b.Loop() {
		for i, base := range []string{direct, d.URL(0)} {
			n++
			req := chatRequest{prompt: fmt.Sprintf("%d [answer of %d tokens]", n, length), maxTokens: length, stream: true}
			start := time.Now()
			r, err := send(context.Background(), base, req)
			durations[i] += time.Since(start)
			require.NoError(b, err)
			require.True(b, r.complete)
		}
	}
	b.ReportMetric(float64(durations[1])/float64(durations[0]), "routed/direct")
	b.ReportMetric(float64((durations[1]-durations[0]).Microseconds())/float64(b.N), "addedµs/op")
}

// BenchmarkRequest sends short unstreamed completions concurrently through one
// router.
func BenchmarkRequest(b *testing.B) {
	d, _ := startBench(b, 1, 0, 256)
	b.ReportAllocs()
	sendShortRequests(b, d)
}

// sendShortRequests sends b.N short unstreamed completions concurrently,
// distributed evenly over the routers.
func sendShortRequests(b *testing.B, d *Deployment) {
	var next atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req := chatRequest{prompt: "short [answer of 8 tokens]", maxTokens: 8}
			r, err := send(context.Background(), d.URL(int(next.Add(1))%len(d.Routers)), req)
			if err != nil || !r.complete {
				b.Errorf("%v %+v", err, r)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkHeldStreams keeps streams open through a minimal net/http proxy and
// through a router, and reports the memory per stream of the proxy and what the
// router uses beyond it.
func BenchmarkHeldStreams(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			d, direct := startBench(b, 1, 500*time.Millisecond, 2*n)
			relay := newRelay(direct)
			defer relay.Close()
			for b.Loop() {
				relayed := streamMemory(b, relay.URL, n)
				routed := streamMemory(b, d.URL(0), n)
				b.ReportMetric(float64(relayed)/float64(n), "relayB/stream")
				b.ReportMetric(float64(routed-relayed)/float64(n), "beyondB/stream")
			}
		})
	}
}

// newRelay returns a minimal reverse proxy that flushes each part of a response
// as it arrives.
func newRelay(base string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.Path, r.Body)
		if err != nil {
			return
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		buffer := make([]byte, 4096)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	}))
}

// streamMemory returns the increase of the process's memory by n open streams.
func streamMemory(b *testing.B, base string, n int) int64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	var started, finished sync.WaitGroup
	started.Add(n)
	for i := range n {
		finished.Go(func() {
			req := chatRequest{prompt: fmt.Sprintf("held %d [answer of 500 tokens]", i), maxTokens: 500, stream: true}
			req.onChunk = func(k int) {
				if k == 1 {
					started.Done()
				}
			}
			_, _ = send(ctx, base, req) // canceled with ctx
		})
	}
	started.Wait()
	used := memoryInUse() - before
	cancel()
	finished.Wait()
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(500 * time.Millisecond) // let the servers detect the closed connections
	return used
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkStoreCalls reports the number of calls of the key-value service per
// request when all routers serve the same budget.
func BenchmarkStoreCalls(b *testing.B) {
	for _, routers := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			d, _ := startBench(b, routers, 0, 256)
			before := d.KeyValue.Counts()
			sendShortRequests(b, d)
			after := d.KeyValue.Counts()
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/request")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/request")
		})
	}
}

// BenchmarkDuringOutage sends short completions sequentially, first with the
// key-value service available and then during an outage of it.
func BenchmarkDuringOutage(b *testing.B) {
	d, _ := startBench(b, 3, 0, 256)
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("outage=%v", down), func(b *testing.B) {
			for i := range 30 {
				_, err := send(context.Background(), d.URL(i%3), chatRequest{prompt: "warm", maxTokens: 8})
				require.NoError(b, err)
			}
			setOutage(d, down)
			defer setOutage(d, false)
			for i := 0; b.Loop(); i++ {
				req := chatRequest{prompt: "short [answer of 8 tokens]", maxTokens: 8, idempotencyKey: fmt.Sprintf("o-%v-%d", down, i)}
				r, err := send(context.Background(), d.URL(i%3), req)
				require.NoError(b, err)
				require.True(b, r.complete, "%+v", r)
			}
		})
	}
}
