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

// startBench runs a deployment with one engine address to call directly.
func startBench(b *testing.B, routers int, pace time.Duration, slots int) (d *Deployment, direct string) {
	s := Settings{
		Answers: testAnswers(b),
		Routers: routers,
		Direct:  true,
		Timing:  testTiming(),
		Engine:  engine.Settings{TokenPace: pace},
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
		ctx, cancel := context.WithTimeout(context.Background(), waitFor)
		defer cancel()
		_ = d.Close(ctx)
	})
	return d, "http://" + d.Engines["llm-1"].Address().String()
}

// BenchmarkAddedLatency streams the same answer directly from an engine and
// through a router, in turn, and reports the ratio of the times.
func BenchmarkAddedLatency(b *testing.B) {
	const pace, length = 20 * time.Millisecond, 24
	d, direct := startBench(b, 1, pace, 64)
	var times [2]time.Duration
	n := 0
	for b.Loop() {
		for i, base := range []string{direct, d.URL(0)} {
			n++
			a := ask{prompt: fmt.Sprintf("%d [answer of %d tokens]", n, length), tokens: length, stream: true}
			began := time.Now()
			r, err := send(context.Background(), base, a)
			times[i] += time.Since(began)
			require.NoError(b, err)
			require.True(b, r.whole)
		}
	}
	b.ReportMetric(float64(times[1])/float64(times[0]), "routed/direct")
	b.ReportMetric(float64((times[1]-times[0]).Microseconds())/float64(b.N), "addedµs/op")
}

// BenchmarkRequest sends short whole completions through one router, many at a
// time.
func BenchmarkRequest(b *testing.B) {
	d, _ := startBench(b, 1, 0, 256)
	b.ReportAllocs()
	sendShort(b, d)
}

// sendShort sends b.N short whole completions to all routers in turn.
func sendShort(b *testing.B, d *Deployment) {
	var next atomic.Int64
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := ask{prompt: "short [answer of 8 tokens]", tokens: 8}
			r, err := send(context.Background(), d.URL(int(next.Add(1))%len(d.Routers)), a)
			if err != nil || !r.whole {
				b.Errorf("%v %+v", err, r)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkHeldStreams holds streams open through a bare relay on net/http and
// through a router, and reports the memory that each stream takes beyond the
// relay's.
func BenchmarkHeldStreams(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			d, direct := startBench(b, 1, 500*time.Millisecond, 2*n)
			relay := newRelay(direct)
			defer relay.Close()
			for b.Loop() {
				bare := memoryOf(b, relay.URL, n)
				routed := memoryOf(b, d.URL(0), n)
				b.ReportMetric(float64(bare)/float64(n), "relayB/stream")
				b.ReportMetric(float64(routed-bare)/float64(n), "beyondB/stream")
			}
		})
	}
}

// newRelay returns a server that copies a response as it comes.
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

// memoryOf returns the memory in use that n held streams add.
func memoryOf(b *testing.B, base string, n int) int64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	var begun, ended sync.WaitGroup
	begun.Add(n)
	for i := range n {
		ended.Go(func() {
			a := ask{prompt: fmt.Sprintf("held %d [answer of 500 tokens]", i), tokens: 500, stream: true}
			a.piece = func(k int) {
				if k == 1 {
					begun.Done()
				}
			}
			_, _ = send(ctx, base, a) // it ends with ctx
		})
	}
	begun.Wait()
	used := memoryInUse() - before
	cancel()
	ended.Wait()
	http.DefaultClient.CloseIdleConnections()
	time.Sleep(500 * time.Millisecond) // the connections' ends are seen
	return used
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkStoreCalls counts the calls of the key-value service for each
// request, when all routers serve one budget.
func BenchmarkStoreCalls(b *testing.B) {
	for _, routers := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			d, _ := startBench(b, routers, 0, 256)
			before := d.KeyValue.Counts()
			sendShort(b, d)
			after := d.KeyValue.Counts()
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/request")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/request")
		})
	}
}

// BenchmarkDuringOutage sends short completions one after the other while the
// key-value service is away.
func BenchmarkDuringOutage(b *testing.B) {
	d, _ := startBench(b, 3, 0, 256)
	for _, out := range []bool{false, true} {
		b.Run(fmt.Sprintf("outage=%v", out), func(b *testing.B) {
			for i := range 30 {
				_, err := send(context.Background(), d.URL(i%3), ask{prompt: "warm", tokens: 8})
				require.NoError(b, err)
			}
			outage(d, out)
			defer outage(d, false)
			for i := 0; b.Loop(); i++ {
				a := ask{prompt: "short [answer of 8 tokens]", tokens: 8, key: fmt.Sprintf("o-%v-%d", out, i)}
				r, err := send(context.Background(), d.URL(i%3), a)
				require.NoError(b, err)
				require.True(b, r.whole, "%+v", r)
			}
		})
	}
}
