package engineclient_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// TestEachCallerGetsItsOwnAnswer runs concurrent callers while faults are
// injected, connections are muted and the engine crashes at random. Each caller
// must receive its own answer in full, or a prefix of it followed by an error. If
// the error says that the request did not run, the engine must not have run it.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	const callers, runsEach = 16, 8
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	b := newHarness(t, fake.Settings{Slots: callers, TokenInterval: 500 * time.Microsecond})
	stop := make(chan struct{})
	var faults, work sync.WaitGroup
	faults.Go(func() { assert.NoError(t, injectFaults(b.engine, rand.New(rand.NewPCG(seed, 1)), stop)) })
	var mu sync.Mutex
	whole := 0
	for caller := range callers {
		work.Go(func() {
			for i := range runsEach {
				name := fmt.Sprintf("%d-%d", caller, i)
				prompt := fake.WithLength("caller "+name, 30)
				a := b.run(t, newRun(name, prompt, 64))
				if a.err == nil {
					assertComplete(t, a, prompt, 64)
					mu.Lock()
					whole++
					mu.Unlock()
					continue
				}
				expected := fake.ExpectedAnswer(prompt, 64)
				assert.Equal(t, expected[:len(a.text)], a.text)
				if !engineclient.MayHaveRun(a.err) {
					assert.Zero(t, b.engine.Runs(ident.Request("r-"+name)), "%v", a.err)
				}
			}
		})
	}
	work.Wait()
	close(stop)
	faults.Wait()
	t.Logf("%d of %d answers were whole", whole, callers*runsEach)
	assert.Positive(t, whole)
}

func injectFaults(e *fake.Engine, random *rand.Rand, stop <-chan struct{}) error {
	all := []fake.Faults{
		{}, {SilentAfter: 5}, {ResetAt: 9}, {CutAt: 3}, {RepeatAt: 12}, {SkipAt: 2}, {LateAt: 20},
		{WithoutDone: true}, {WrongAttemptAt: 15}, {WrongAttemptHeader: true}, {NotRun: true}, {SilentAtStart: true},
	}
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(10 * time.Millisecond):
		}
		e.SetFaults(all[random.IntN(len(all))])
		switch random.IntN(40) {
		case 0, 1:
			e.SilenceConnections()
		case 2:
			e.Crash()
			if err := e.Restart(); err != nil {
				return err
			}
		}
	}
}

// TestCloseLeavesNothingBehind guards against goroutine leaks: it opens streams in
// every state, closes the client while the engine keeps running, and waits until
// no goroutine of the client or its connections is left.
func TestCloseLeavesNothingBehind(t *testing.T) {
	e, err := fake.New(fake.Settings{Slots: 100, TokenInterval: time.Hour})
	require.NoError(t, err)
	defer func() { assert.NoError(t, e.Close()) }()
	up := configuration.Upstream{ID: "e1", Address: e.Address()}
	c := engineclient.New(engineclient.Settings{
		SilenceLimit: func() time.Duration { return time.Hour }, // no idle connection expires by itself
		Log:          hclog.NewNullLogger(),
	})
	var waiting sync.WaitGroup
	for i := range 20 {
		s, err := c.Start(t.Context(), up, newRun(fmt.Sprint(i), "p", 10))
		require.NoError(t, err)
		switch i % 4 {
		case 0: // left open
		case 1:
			require.NoError(t, s.Close())
		case 2:
			waiting.Go(func() { readAnswer(t, s) })
		case 3:
			_, err := s.Next(t.Context())
			require.NoError(t, err)
		}
	}
	_, err = c.Load(t.Context(), up)
	require.NoError(t, err)
	assert.NotZero(t, clientGoroutines())
	require.NoError(t, c.Close())
	waiting.Wait()
	assert.EventuallyWithT(t, func(t *assert.CollectT) {
		assert.Zero(t, clientGoroutines())
	}, 30*time.Second, 10*time.Millisecond)
}

// clientGoroutines returns the number of goroutines that belong to a client or
// to a client's connection.
func clientGoroutines() (n int) {
	stacks := make([]byte, 8<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for stack := range strings.SplitSeq(string(stacks), "\n\n") {
		if strings.Contains(stack, "net/http.(*persistConn)") || strings.Contains(stack, "engineclient.(*Client)") {
			n++
		}
	}
	return n
}
