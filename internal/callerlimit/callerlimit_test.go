package callerlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// harness records which connections were given up.
type harness struct {
	*Registry
	t       *testing.T
	givenUp []string
	arrived map[string]bool // connections whose request the phase does not show yet
}

func givenUp(Phase) bool { return true }

func newHarness(t *testing.T, l Limits) *harness { return &harness{Registry: New(l), t: t} }

func (h *harness) open(now time.Time, name string, p Phase) *Connection {
	c, ok := h.Open(now, func(Phase) bool {
		if h.arrived[name] {
			return false
		}
		h.givenUp = append(h.givenUp, name)
		return true
	})
	require.True(h.t, ok, name)
	if p != Waiting {
		c.Enter(now, p)
	}
	return c
}

// TestNewcomersTakeThePlaceOfWaitingConnections guards against connections that send nothing and
// keep ordinary callers out, and against giving up an idle connection of an ordinary caller or a
// request in progress before them.
func TestNewcomersTakeThePlaceOfWaitingConnections(t *testing.T) {
	h := newHarness(t, Limits{Connections: 7})
	h.open(start, "running", Running)
	idle := h.open(start, "idle", Running)
	idle.Accept()
	refused := h.open(start, "refused", Running)
	refused.Enter(start.Add(1500*time.Millisecond), Waiting)
	idle.Enter(start.Add(time.Second), Waiting)
	h.open(start.Add(time.Second), "upload", Uploading)
	h.open(start.Add(2*time.Second), "silent 1", Waiting)
	h.open(start.Add(3*time.Second), "head", Receiving)
	h.open(start.Add(4*time.Second), "silent 2", Waiting)
	for n, want := range []string{"refused", "silent 1", "head", "silent 2", "idle", "upload"} {
		h.open(start.Add(time.Duration(10+n)*time.Second), "newcomer", Running)
		require.Len(t, h.givenUp, n+1)
		assert.Equal(t, want, h.givenUp[n])
	}
	_, ok := h.Open(start.Add(time.Minute), givenUp)
	assert.False(t, ok, "all connections are in use")
	assert.Equal(t, Counts{ConnectionsRefused: 1, WaitingClosed: 4, HeadsClosed: 1, UploadsClosed: 1}, h.State().Counts)
}

// TestStalledRequestsMakeRoom guards against uploads and heads that stop just short of their end
// and keep the memory.
func TestStalledRequestsMakeRoom(t *testing.T) {
	h := newHarness(t, Limits{Memory: 20 << 20})
	fast, slow, head := h.open(start, "fast", Uploading), h.open(start, "slow", Uploading), h.open(start.Add(-time.Millisecond), "head", Receiving)
	require.True(t, fast.Reserve(start, 7<<20))
	require.True(t, slow.Reserve(start, 7<<20))
	require.True(t, head.Reserve(start, 1<<20))
	newcomer := h.open(start, "newcomer", Uploading)
	assert.False(t, newcomer.Reserve(start.Add(100*time.Millisecond), 4<<20), "nothing stalls yet")
	require.True(t, newcomer.Reserve(start.Add(100*time.Millisecond), smallRequest), "small requests have a part of their own")
	for n := range 30 {
		now := start.Add(time.Duration(n+1) * 100 * time.Millisecond)
		fast.Progress(now, 20<<10)
		slow.Progress(now, 3<<10) // above slowBytes in a second, but it would take 239 s
	}
	now := start.Add(3 * time.Second)
	newcomer.Progress(now, 200<<10)
	require.True(t, newcomer.Reserve(now, 4<<20))
	assert.ElementsMatch(t, []string{"head", "slow"}, h.givenUp)
	assert.False(t, slow.Reserve(now, 1), "it was given up")
	slow.Release(0)
	slow.Close()
	newcomer.Release(10)
	assert.EqualValues(t, 7<<20+10, h.State().Memory)
	fast.Close()
	newcomer.Close()
	assert.Zero(t, h.State().Memory)
	assert.Zero(t, h.State().Connections)
}

// TestRequestAboveTheLimitTakesNothing guards against a request that can never be held and makes
// the router give up others for it.
func TestRequestAboveTheLimitTakesNothing(t *testing.T) {
	h := newHarness(t, Limits{Memory: 4 << 20})
	require.True(t, h.open(start, "slow", Uploading).Reserve(start, 1<<20))
	assert.False(t, h.open(start, "newcomer", Uploading).Reserve(start.Add(time.Minute), 5<<20))
	assert.Empty(t, h.givenUp)
}

// TestLimitsOfVMs guards against limits that ordinary callers would meet on a small VM, and that
// one request within the limits of the configuration cannot stay within.
func TestLimitsOfVMs(t *testing.T) {
	const maxRequest = 4<<20 + 2<<20 // body, and a head of 4,000 lines
	for _, vm := range []VM{{112e6, 3075}, {64e6, 500}, {256e6, 4100}} {
		l := vm.Callers()
		assert.Greater(t, float64(l.Memory)*largeFraction, float64(maxRequest))
		assert.GreaterOrEqual(t, l.Connections, 150)
		total := l.Memory + vm.Peers().Memory + vm.Ready().Memory + vm.Responses() +
			int64(l.Connections+vm.Peers().Connections+vm.Ready().Connections)*connectionBytes
		assert.Less(t, total, vm.Memory*4/5)
		assert.Less(t, l.Connections+vm.Peers().Connections+vm.Ready().Connections, vm.Descriptors-reservedDescriptors)
	}
	assert.Greater(t, VM{112e6, 3075}.Peers().Connections, 390, "the routers of the largest fleet")
	assert.Equal(t, Limits{}, VM{}.Callers())
	assert.Equal(t, Limits{}, VM{}.Ready())
	assert.Zero(t, VM{}.Responses())
}

// TestMemoryIsCountedOnce guards against memory that is counted twice or never released, in any
// order of calls.
func TestMemoryIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Connections: 5, Memory: 1 << 20}
		r := New(l)
		now := start
		var all []*Connection
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if len(all) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				if c, ok := r.Open(now, givenUp); ok {
					all = append(all, c)
				}
				continue
			}
			c := rapid.SampledFrom(all).Draw(t, "connection")
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				c.Enter(now, Phase(rapid.IntRange(0, 3).Draw(t, "phase")))
			case 1:
				c.Release(rapid.Int64Range(0, 1<<18).Draw(t, "except"))
			case 2:
				c.Close()
			default:
				c.Reserve(now, rapid.Int64Range(0, 1<<19).Draw(t, "bytes"))
			}
			s := r.State()
			sum := int64(0)
			for c := range r.connections {
				sum += c.reserved
			}
			if s.Memory != sum || s.Memory > l.Memory || s.Connections > l.Connections {
				t.Fatalf("%+v, reserved %d", s, sum)
			}
		}
	})
}

// TestUploadsThatReceiveNothingMakeRoomSoon guards against waves of uploads that stop at once and
// keep ordinary callers out until the slow ones are recognized, and against giving up one that
// goes on.
func TestUploadsThatReceiveNothingMakeRoomSoon(t *testing.T) {
	h := newHarness(t, Limits{Connections: 2, Memory: 1 << 20})
	going, stalled := h.open(start, "going", Uploading), h.open(start, "stalled", Uploading)
	require.True(t, going.Reserve(start, 300<<10))
	require.True(t, stalled.Reserve(start, 300<<10))
	now := start.Add(connectionPatience - 1)
	_, ok := h.Open(now, givenUp)
	assert.False(t, ok)
	going.Progress(now, 1000)
	newcomer := h.open(start.Add(connectionPatience), "newcomer", Uploading)
	assert.Equal(t, []string{"stalled"}, h.givenUp)
	now = start.Add(connectionPatience + memoryPatience - 2)
	assert.False(t, newcomer.Reserve(now, 500<<10), "nothing stalls for long enough")
	going.Progress(now, 1000)
	newcomer.Progress(now, 1000)
	assert.False(t, newcomer.Reserve(now.Add(1), 500<<10))
	assert.True(t, newcomer.Reserve(now.Add(memoryPatience), 500<<10))
	assert.Equal(t, []string{"stalled", "going"}, h.givenUp)
}

// TestNewcomersOutliveIdleConnections guards against a connection that was just opened, and whose
// request is on its way, being closed before one that has been idle for long.
func TestNewcomersOutliveIdleConnections(t *testing.T) {
	h := newHarness(t, Limits{Connections: 3})
	for range 3 {
		c := h.open(start, "idle", Running)
		c.Accept()
		c.Enter(start, Waiting)
	}
	now := start.Add(10 * time.Second)
	for n := range 3 {
		h.open(now.Add(time.Duration(n)*time.Millisecond), "newcomer", Waiting)
	}
	assert.Equal(t, []string{"idle", "idle", "idle"}, h.givenUp)
	h.open(now.Add(4*time.Millisecond), "newcomer", Waiting)
	assert.Equal(t, "newcomer", h.givenUp[3], "if there are no others")
}

// TestDetachedReservation guards against memory that is given to others while a request goes on
// without its connection, or that is never released.
func TestDetachedReservation(t *testing.T) {
	h := newHarness(t, Limits{Memory: 100 << 10})
	c, other := h.open(start, "left", Running), h.open(start, "other", Running)
	require.True(t, c.Reserve(start, 80<<10))
	release := c.Detach()
	c.Release(0)
	c.Close()
	assert.True(t, other.Holds(80<<10))
	assert.False(t, other.Reserve(start, 80<<10))
	release()
	assert.True(t, other.Reserve(start, 80<<10))
	assert.EqualValues(t, 80<<10, h.State().Memory)
}

// TestRequestThatHasJustArrivedIsNotGivenUp guards against a connection that is closed because it
// still counts as waiting, receiving or uploading although its request has arrived.
func TestRequestThatHasJustArrivedIsNotGivenUp(t *testing.T) {
	for _, p := range []Phase{Waiting, Receiving, Uploading} {
		h := newHarness(t, Limits{Connections: 2, Memory: 1 << 20})
		h.arrived = map[string]bool{"arrived": true}
		arrived := h.open(start, "arrived", p)
		require.True(t, arrived.Reserve(start, 500<<10))
		h.open(start.Add(time.Millisecond), "other", p)
		now := start.Add(time.Minute)
		newcomer := h.open(now, "newcomer", Uploading)
		assert.Equal(t, []string{"other"}, h.givenUp)
		assert.False(t, newcomer.Reserve(now, 500<<10), "the memory is in use")
		assert.Equal(t, []string{"other"}, h.givenUp)
		assert.True(t, arrived.Reserve(now, 1))
		h.open(now.Add(time.Minute), "last", Running)
		assert.Equal(t, []string{"other", "newcomer"}, h.givenUp)
	}
}
