package guard

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/callerlimit"
)

// Limits of the configuration of the users' sites.
const (
	maxHead     = 16_384
	maxBody     = 4 << 20
	headTimeout = 3 * time.Second
	idleTimeout = 15 * time.Second
	maxReuse    = idleTimeout * 4 / 5
	maxStream   = 12 * time.Second
)

// smallestVMs are those of the smallest sizes in use.
var smallestVMs = []callerlimit.VM{{Memory: 112e6, Descriptors: 3075}, {Memory: 120e6, Descriptors: 3075}, {Memory: 134e6, Descriptors: 4100}}

// call is a request of an ordinary caller.
type call struct {
	head, lines, body       int
	chunked                 bool
	receive, upload, answer time.Duration
}

// day plays callers on given time. Times are offsets from its start.
type day struct {
	registry *callerlimit.Registry
	idle     time.Duration // for which the router keeps connections
	events   []moment
	faults   []string
}

type moment struct {
	at  time.Duration
	act func(now time.Time)
}

func (d *day) at(at time.Duration, act func(time.Time)) { d.events = append(d.events, moment{at, act}) }

func (d *day) fault(format string, args ...any) {
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

// play runs all events in the order of their times.
func (d *day) play() {
	slices.SortStableFunc(d.events, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	for _, e := range d.events {
		e.act(time.Unix(1000, 0).Add(e.at))
	}
}

// connect opens a connection that sends calls, each after a pause, and is then left open until the
// router ends it.
func (d *day) connect(at, pause time.Duration, calls ...call) (end time.Duration) {
	var c *callerlimit.Connection
	d.at(at, func(now time.Time) {
		var ok bool
		if c, ok = d.registry.Open(now, func(p callerlimit.Phase) bool {
			d.fault("connection opened at %v is given up at %v in phase %v", at, now.Sub(time.Unix(1000, 0)), p)
			return true
		}); !ok {
			d.fault("connection refused at %v", at)
		}
	})
	for _, k := range calls {
		at = d.call(at+pause, func() *callerlimit.Connection { return c }, k)
	}
	d.at(at+d.idle, func(time.Time) {
		if c != nil {
			c.Close()
		}
	})
	return at
}

// call sends one request on a connection.
func (d *day) call(at time.Duration, connection func() *callerlimit.Connection, k call) (end time.Duration) {
	const parts = 20
	reserved := 0 // for the body
	step := func(after time.Duration, act func(now time.Time, c *callerlimit.Connection)) {
		at += after
		d.at(at, func(now time.Time) {
			if c := connection(); c != nil {
				act(now, c)
			}
		})
	}
	reserve := func(now time.Time, c *callerlimit.Connection, n int) {
		if !c.Reserve(now, int64(n)) {
			d.fault("%d bytes refused at %v: %+v", n, now.Sub(time.Unix(1000, 0)), k)
		}
	}
	step(0, func(now time.Time, c *callerlimit.Connection) { c.Enter(now, callerlimit.Receiving) })
	for range parts {
		step(k.receive/parts, func(now time.Time, c *callerlimit.Connection) {
			reserve(now, c, (k.head*byteFactor+k.lines*lineBytes)/parts)
		})
	}
	step(0, func(now time.Time, c *callerlimit.Connection) {
		c.Enter(now, callerlimit.Uploading)
		c.Accept()
		reserved = k.body
		if k.chunked {
			reserved = firstPieceBytes
			reserve(now, c, chunkedBytes)
		}
		reserve(now, c, reserved)
	})
	for n := range parts {
		step(k.upload/parts, func(now time.Time, c *callerlimit.Connection) {
			c.Progress(now, k.body/parts)
			for received := k.body * (n + 1) / parts; k.chunked && reserved <= received; reserved += pieceBytes {
				reserve(now, c, pieceBytes)
			}
		})
	}
	step(0, func(now time.Time, c *callerlimit.Connection) {
		c.Enter(now, callerlimit.Running)
		if k.chunked {
			c.Return(int64(chunkedBytes + reserved - k.body))
		}
	})
	step(k.answer, func(now time.Time, c *callerlimit.Connection) {
		c.Release(0)
		c.Enter(now, callerlimit.Waiting)
	})
	return at
}

// upTo returns a random time below the given one.
func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }

// ordinaryCall returns a request of a few hundred bytes to 10 KB.
func ordinaryCall(random *rand.Rand, answer time.Duration) call {
	k := call{head: 400 + random.IntN(1200), lines: 8 + random.IntN(17), body: random.IntN(8500), chunked: random.IntN(4) == 0, answer: answer}
	k.receive, k.upload = upTo(random, 100*time.Millisecond), upTo(random, 300*time.Millisecond)
	if random.IntN(20) == 0 { // a slow link
		k.receive, k.upload = headTimeout-time.Millisecond, 6*time.Second
	}
	return k
}

// playCalm plays two minutes of an ordinary day of one VM, with requests of the maximum size one after
// another. Callers leave their connections open.
func playCalm(vm callerlimit.VM, idle time.Duration, perSecond int, answer func(*rand.Rand) time.Duration) (faults []string, counts callerlimit.Counts) {
	const length = 2 * time.Minute
	d := &day{registry: callerlimit.New(vm.Callers()), idle: idle}
	random := rand.New(rand.NewPCG(1, uint64(perSecond)))
	for n := 0; n < int(length/time.Second)*perSecond; n++ {
		at := time.Duration(n) * time.Second / time.Duration(perSecond)
		calls := []call{ordinaryCall(random, answer(random))}
		if n%4 == 0 { // a connection that is opened ahead, and used twice
			calls, n = append(calls, ordinaryCall(random, answer(random))), n+1
			d.connect(at, upTo(random, maxReuse), calls...)
			continue
		}
		d.connect(at, 0, calls...)
	}
	for at, n := time.Duration(0), 0; at < length; n++ {
		largest := call{head: maxHead, lines: maxHead / len("a:\r\n"), body: maxBody, chunked: n%2 == 0, receive: headTimeout / 2, upload: time.Second, answer: 2 * time.Second}
		if n%3 == 0 {
			largest.receive, largest.upload = headTimeout-time.Millisecond, 9900*time.Millisecond
		}
		at = d.connect(at, 0, largest)
	}
	d.play()
	return d.faults, d.registry.State().Counts
}

// TestCallersWithinTheLimitsMeetNoneInCalm guards against ordinary callers that are refused for
// memory or given up on the smallest VMs, although no caller exceeds the limits of the configuration.
func TestCallersWithinTheLimitsMeetNoneInCalm(t *testing.T) {
	answers := map[string]func(*rand.Rand) time.Duration{
		"short":   func(r *rand.Rand) time.Duration { return upTo(r, 2*time.Second) },
		"mixed":   func(r *rand.Rand) time.Duration { return upTo(r, maxStream) },
		"streams": func(*rand.Rand) time.Duration { return maxStream },
	}
	for _, vm := range smallestVMs {
		for _, perSecond := range []int{10, 30} {
			for name, answer := range answers {
				t.Run(fmt.Sprintf("%d MB, %d a second, %s", vm.Memory/1e6, perSecond, name), func(t *testing.T) {
					faults, counts := playCalm(vm, idleTimeout, perSecond, answer)
					assert.Empty(t, faults)
					assert.Zero(t, counts)
				})
			}
		}
	}
}
