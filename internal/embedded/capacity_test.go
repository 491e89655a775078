package embedded

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/router"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/ident"
)

// TestCapacityPageNamesExistingBenchmarks checks that each test and benchmark in
// a command on the capacity page exists in the package that the command names.
func TestCapacityPageNamesExistingBenchmarks(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	commands := regexp.MustCompile(`go test \./(\S+)(?: -cpu \d+)? -run (\S+)(?: -bench '([^']+)')?`).FindAllStringSubmatch(string(page), -1)
	require.Len(t, commands, strings.Count(string(page), "go test"))
	for _, c := range commands {
		files, err := filepath.Glob("../../" + c[1] + "/*_test.go")
		require.NoError(t, err)
		var code strings.Builder
		for _, file := range files {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			code.Write(data)
		}
		names, kind := strings.Split(c[3], "|"), "Benchmark"
		if c[3] == "" {
			names, kind = []string{c[2]}, "Test"
		}
		for _, name := range names {
			name = strings.TrimSuffix(strings.TrimPrefix(name, kind), "$")
			assert.Contains(t, code.String(), "func "+kind+name+"(", "in %s", c[1])
		}
	}
}

// resourceUsage is a snapshot of the resources used by the process and of the
// calls of the fake key-value service.
type resourceUsage struct {
	at           time.Time
	cpuTime      time.Duration
	bytesWritten int64 // bytes passed to write system calls, nearly all to sockets
	storeCalls   keyvalue.Counts
}

func measureUsage(b *testing.B, d *Deployment) (u resourceUsage) {
	var r syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	u.cpuTime = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip("/proc/self/io is not available")
	}
	_, err = fmt.Sscanf(string(data[strings.Index(string(data), "wchar:"):]), "wchar: %d", &u.bytesWritten)
	require.NoError(b, err)
	u.at, u.storeCalls = time.Now(), d.KeyValue.Counts()
	return u
}

// startFleet starts a deployment with the given timing, whose zero values stand
// for the production intervals, after it has applied changes to the answers.
func startFleet(b *testing.B, routers int, direct bool, timing router.Timing, changes ...func(*answers.Answers)) *Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s := Settings{Answers: testAnswers(b), Routers: routers, Direct: direct, Timing: timing, Clock: time.Now, Log: testLog(),
		Engine: engine.Settings{TokenInterval: 2 * time.Millisecond}}
	for i := range s.Answers.Services {
		for j := range s.Answers.Services[i].Upstreams {
			s.Answers.Services[i].Upstreams[j].Slots = 256
		}
	}
	for _, change := range changes {
		change(&s.Answers)
	}
	d, err := Start(ctx, s)
	require.NoError(b, err)
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_ = d.Close(ctx)
	})
	return d
}

// BenchmarkIdleFleet reports the CPU time, the bytes written and the calls of the
// key-value service per idle router, measured over eight seconds, with and
// without the survey of five upstreams. The figures include the share of the
// fakes, which run in the same process.
func BenchmarkIdleFleet(b *testing.B) {
	const interval = 8 * time.Second
	for _, surveyed := range []bool{false, true} {
		for _, routers := range []int{1, 3, 9} {
			b.Run(fmt.Sprintf("surveyed=%t/routers=%d", surveyed, routers), func(b *testing.B) {
				var timing router.Timing
				if !surveyed {
					timing.Survey = time.Hour
				}
				d := startFleet(b, routers, false, timing)
				time.Sleep(time.Second)
				for b.Loop() {
					b.ReportMetric(float64(memoryInUse())/float64(routers), "heapB/router")
					before := measureUsage(b, d)
					time.Sleep(interval)
					after := measureUsage(b, d)
					routerSeconds := after.at.Sub(before.at).Seconds() * float64(routers)
					b.ReportMetric((after.cpuTime-before.cpuTime).Seconds()*100/routerSeconds, "%core/router")
					b.ReportMetric(float64(after.bytesWritten-before.bytesWritten)/routerSeconds, "B/s/router")
					b.ReportMetric(float64(after.storeCalls.Reads-before.storeCalls.Reads)/routerSeconds, "reads/s/router")
					b.ReportMetric(float64(after.storeCalls.Leases-before.storeCalls.Leases)/routerSeconds, "leases/s/router")
					b.ReportMetric(float64(after.storeCalls.Watches-before.storeCalls.Watches)/routerSeconds, "watches/s/router")
					b.ReportMetric(float64(after.storeCalls.Writes-before.storeCalls.Writes)/routerSeconds, "writes/s/router")
				}
			})
		}
	}
}

// sendStreams sends n streamed requests, at most concurrency at a time, to the
// base URLs in rotation, and returns the number of refused requests.
func sendStreams(b *testing.B, n, length, concurrency int, bases ...string) (refused int64) {
	return sendStreamsWithKeys(b, n, length, concurrency, []string{testAPIKey}, false, bases...)
}

// sendStreamsWithKeys is like sendStreams, but uses several API keys in rotation
// and, if withIdempotencyKey is set, a separate idempotency key for each request.
func sendStreamsWithKeys(b *testing.B, n, length, concurrency int, apiKeys []string, withIdempotencyKey bool, bases ...string) (refused int64) {
	var count atomic.Int64
	var g errgroup.Group
	g.SetLimit(concurrency)
	for i := range n {
		g.Go(func() error {
			req := chatRequest{prompt: fmt.Sprintf("%d [answer of %d tokens]", i, length), maxTokens: length, stream: true, apiKey: apiKeys[i/len(bases)%len(apiKeys)]}
			if withIdempotencyKey {
				req.idempotencyKey = fmt.Sprint(i)
			}
			r, err := send(context.Background(), bases[i%len(bases)], req)
			switch {
			case err != nil:
			case r.refusal.Code != "":
				count.Add(1)
			case !r.complete:
				err = fmt.Errorf("incomplete response: %+v", r)
			}
			return err
		})
	}
	require.NoError(b, g.Wait())
	return count.Load()
}

// BenchmarkProcessorTime reports the CPU time that a router adds to a streamed
// request at several response lengths: the CPU time of routed requests minus
// that of requests sent directly to an engine.
func BenchmarkProcessorTime(b *testing.B) {
	const requests, concurrency = 320, 64
	for _, length := range []int{16, 64, 256, 512} {
		b.Run(fmt.Sprintf("tokens=%d", length), func(b *testing.B) {
			d := startFleet(b, 1, true, router.Timing{Survey: time.Hour})
			engineURL := "http://" + d.Engines["llm-1"].Address().String()
			for b.Loop() {
				var cpuTimes [2]time.Duration
				for i, base := range []string{engineURL, d.URL(0)} {
					require.Zero(b, sendStreams(b, concurrency, 16, concurrency, base))
					before := measureUsage(b, d)
					require.Zero(b, sendStreams(b, requests, length, concurrency, base))
					cpuTimes[i] = measureUsage(b, d).cpuTime - before.cpuTime
				}
				b.ReportMetric(float64(cpuTimes[0].Microseconds())/requests, "directµs/request")
				b.ReportMetric(float64((cpuTimes[1]-cpuTimes[0]).Microseconds())/requests, "addedµs/request")
			}
		})
	}
}

// BenchmarkPacedStoreCalls reports the number of key-value service calls per
// request when requests of one budget are sent through 1, 3 and 9 routers and
// each call takes two milliseconds. It also reports the number of refused
// requests, separately for the first ten per router and the later ones.
func BenchmarkPacedStoreCalls(b *testing.B) {
	const requests = 450
	for _, routers := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			d := startFleet(b, routers, true, router.Timing{Survey: time.Hour})
			d.KeyValue.SetFaults(keyvalue.Faults{Delay: 2 * time.Millisecond})
			var bases []string
			for i := range routers {
				bases = append(bases, d.URL(i))
			}
			for b.Loop() {
				firstRefused := sendStreams(b, 10*routers, 16, 8, bases...)
				before := measureUsage(b, d)
				laterRefused := sendStreams(b, requests, 16, 8, bases...)
				after := measureUsage(b, d)
				b.ReportMetric(float64(firstRefused), "first-refused")
				b.ReportMetric(float64(laterRefused), "refused")
				b.ReportMetric(float64(after.storeCalls.Writes-before.storeCalls.Writes)/requests, "writes/request")
				b.ReportMetric(float64(after.storeCalls.Reads-before.storeCalls.Reads)/requests, "reads/request")
				b.ReportMetric(requests/after.at.Sub(before.at).Seconds(), "requests/s")
			}
		})
	}
}

// BenchmarkManyBudgets reports the number of writes per request when 150
// sequential requests are spread over budgets that the three routers have not
// used before, without and with idempotency keys.
func BenchmarkManyBudgets(b *testing.B) {
	for _, withIdempotencyKey := range []bool{false, true} {
		for _, budgets := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("keyed=%t/budgets=%d", withIdempotencyKey, budgets), func(b *testing.B) {
				benchmarkManyBudgets(b, budgets, withIdempotencyKey)
			})
		}
	}
}

func benchmarkManyBudgets(b *testing.B, budgets int, withIdempotencyKey bool) {
	const requests, routers = 150, 3
	var apiKeys []string
	customer := answers.Customer{ID: "many", Name: "Many", Weight: 1}
	for i := range budgets {
		id := fmt.Sprintf("many-%04d", i)
		apiKeys = append(apiKeys, "key-of-a-benchmark-"+id)
		customer.Budgets = append(customer.Budgets, answers.Budget{ID: ident.Budget(id), Prepaid: 100_000_000})
		customer.Applications = append(customer.Applications, answers.Application{ID: ident.Application(id),
			KeyHash: answers.HashKey(answers.Secret(apiKeys[i])), Budget: ident.Budget(id), MaxOutput: 4096})
	}
	d := startFleet(b, routers, true, router.Timing{Survey: time.Hour}, func(a *answers.Answers) {
		a.Customers = append(a.Customers, customer)
		a.Rules[0].Customers = append(a.Rules[0].Customers, customer.ID)
	})
	d.KeyValue.SetFaults(keyvalue.Faults{Delay: 2 * time.Millisecond})
	for b.Loop() {
		before := measureUsage(b, d)
		require.Zero(b, sendStreamsWithKeys(b, requests, 16, 1, apiKeys, withIdempotencyKey, d.URL(0), d.URL(1), d.URL(2)))
		after := measureUsage(b, d)
		b.ReportMetric(float64(after.storeCalls.Writes-before.storeCalls.Writes)/requests, "writes/request")
		b.ReportMetric(float64(budgets*routers)/requests, "new/request")
	}
}
