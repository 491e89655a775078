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

// TestCapacityPageNamesExistingBenchmarks looks for each test and benchmark
// that a command on the page names.
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

// use is what the process, and the key-value stand-in, have used so far.
type use struct {
	at        time.Time
	processor time.Duration
	written   int64 // bytes written by system calls, to sockets nearly all
	calls     keyvalue.Counts
}

func useOf(b *testing.B, d *Deployment) (u use) {
	var r syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &r))
	u.processor = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip("the system does not count the bytes written")
	}
	_, err = fmt.Sscanf(string(data[strings.Index(string(data), "wchar:"):]), "wchar: %d", &u.written)
	require.NoError(b, err)
	u.at, u.calls = time.Now(), d.KeyValue.Counts()
	return u
}

// startFleet runs a deployment with the intervals of production, after the
// changes to its answers.
func startFleet(b *testing.B, routers int, direct bool, timing router.Timing, changes ...func(*answers.Answers)) *Deployment {
	ctx, cancel := context.WithTimeout(context.Background(), waitFor)
	defer cancel()
	s := Settings{Answers: testAnswers(b), Routers: routers, Direct: direct, Timing: timing, Clock: time.Now, Log: testLog(),
		Engine: engine.Settings{TokenPace: 2 * time.Millisecond}}
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
		ctx, cancel := context.WithTimeout(context.Background(), waitFor)
		defer cancel()
		_ = d.Close(ctx)
	})
	return d
}

// BenchmarkIdleFleet reports what routers without requests take of the
// processor, the network and the key-value service, over eight seconds, with
// and without the survey of five upstreams. The stand-ins' part is in it.
func BenchmarkIdleFleet(b *testing.B) {
	const span = 8 * time.Second
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
					before := useOf(b, d)
					time.Sleep(span)
					after := useOf(b, d)
					each := after.at.Sub(before.at).Seconds() * float64(routers)
					b.ReportMetric((after.processor-before.processor).Seconds()*100/each, "%core/router")
					b.ReportMetric(float64(after.written-before.written)/each, "B/s/router")
					b.ReportMetric(float64(after.calls.Reads-before.calls.Reads)/each, "reads/s/router")
					b.ReportMetric(float64(after.calls.Leases-before.calls.Leases)/each, "leases/s/router")
					b.ReportMetric(float64(after.calls.Watches-before.calls.Watches)/each, "watches/s/router")
					b.ReportMetric(float64(after.calls.Writes-before.calls.Writes)/each, "writes/s/router")
				}
			})
		}
	}
}

// sendMany sends n streamed requests, some at a time, to bases in turn, and
// returns the number that were refused.
func sendMany(b *testing.B, n, length, atOnce int, bases ...string) (refused int64) {
	return sendWithKeys(b, n, length, atOnce, []string{testKey}, false, bases...)
}

// sendWithKeys is sendMany for callers with several keys, in turn, and with an
// idempotency key for each request if so told.
func sendWithKeys(b *testing.B, n, length, atOnce int, keys []string, keyed bool, bases ...string) (refused int64) {
	var count atomic.Int64
	var g errgroup.Group
	g.SetLimit(atOnce)
	for i := range n {
		g.Go(func() error {
			a := ask{prompt: fmt.Sprintf("%d [answer of %d tokens]", i, length), tokens: length, stream: true, bearer: keys[i/len(bases)%len(keys)]}
			if keyed {
				a.key = fmt.Sprint(i)
			}
			r, err := send(context.Background(), bases[i%len(bases)], a)
			switch {
			case err != nil:
			case r.refusal.Code != "":
				count.Add(1)
			case !r.whole:
				err = fmt.Errorf("not whole: %+v", r)
			}
			return err
		})
	}
	require.NoError(b, g.Wait())
	return count.Load()
}

// BenchmarkProcessorTime reports the processor time that a router adds to a
// streamed request, at several lengths: that of routed requests less that of
// direct ones.
func BenchmarkProcessorTime(b *testing.B) {
	const requests, atOnce = 320, 64
	for _, length := range []int{16, 64, 256, 512} {
		b.Run(fmt.Sprintf("tokens=%d", length), func(b *testing.B) {
			d := startFleet(b, 1, true, router.Timing{Survey: time.Hour})
			engine := "http://" + d.Engines["llm-1"].Address().String()
			for b.Loop() {
				var spent [2]time.Duration
				for i, base := range []string{engine, d.URL(0)} {
					require.Zero(b, sendMany(b, atOnce, 16, atOnce, base))
					before := useOf(b, d)
					require.Zero(b, sendMany(b, requests, length, atOnce, base))
					spent[i] = useOf(b, d).processor - before.processor
				}
				b.ReportMetric(float64(spent[0].Microseconds())/requests, "directµs/request")
				b.ReportMetric(float64((spent[1]-spent[0]).Microseconds())/requests, "addedµs/request")
			}
		})
	}
}

// BenchmarkPacedStoreCalls reports the calls of the key-value service, which answers
// in two milliseconds, for each request of one budget that is sent through 1, 3
// and 9 routers, and how many requests are refused, first and afterwards.
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
				early := sendMany(b, 10*routers, 16, 8, bases...)
				before := useOf(b, d)
				late := sendMany(b, requests, 16, 8, bases...)
				after := useOf(b, d)
				b.ReportMetric(float64(early), "first-refused")
				b.ReportMetric(float64(late), "refused")
				b.ReportMetric(float64(after.calls.Writes-before.calls.Writes)/requests, "writes/request")
				b.ReportMetric(float64(after.calls.Reads-before.calls.Reads)/requests, "reads/request")
				b.ReportMetric(requests/after.at.Sub(before.at).Seconds(), "requests/s")
			}
		})
	}
}

// BenchmarkManyBudgets reports the writes for each of 150 requests, one at a
// time, that are spread over budgets, all new to the three routers, without and
// with idempotency keys.
func BenchmarkManyBudgets(b *testing.B) {
	for _, keyed := range []bool{false, true} {
		for _, budgets := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("keyed=%t/budgets=%d", keyed, budgets), func(b *testing.B) {
				benchmarkManyBudgets(b, budgets, keyed)
			})
		}
	}
}

func benchmarkManyBudgets(b *testing.B, budgets int, keyed bool) {
	const requests, routers = 150, 3
	var keys []string
	c := answers.Customer{ID: "many", Name: "Many", Weight: 1}
	for i := range budgets {
		id := fmt.Sprintf("many-%04d", i)
		keys = append(keys, "key-of-a-benchmark-"+id)
		c.Budgets = append(c.Budgets, answers.Budget{ID: ident.Budget(id), Prepaid: 100_000_000})
		c.Applications = append(c.Applications, answers.Application{ID: ident.Application(id),
			KeyHash: answers.HashKey(answers.Secret(keys[i])), Budget: ident.Budget(id), MaxOutput: 4096})
	}
	d := startFleet(b, routers, true, router.Timing{Survey: time.Hour}, func(a *answers.Answers) {
		a.Customers = append(a.Customers, c)
		a.Rules[0].Customers = append(a.Rules[0].Customers, c.ID)
	})
	d.KeyValue.SetFaults(keyvalue.Faults{Delay: 2 * time.Millisecond})
	for b.Loop() {
		before := useOf(b, d)
		require.Zero(b, sendWithKeys(b, requests, 16, 1, keys, keyed, d.URL(0), d.URL(1), d.URL(2)))
		after := useOf(b, d)
		b.ReportMetric(float64(after.calls.Writes-before.calls.Writes)/requests, "writes/request")
		b.ReportMetric(float64(budgets*routers)/requests, "new/request")
	}
}
