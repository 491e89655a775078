package engineclient_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/engineclient"
	fake "example.org/lagoonfork/internal/fake/engine"
	"example.org/lagoonfork/pkg/engine"
)

func TestWholeAnswer(t *testing.T) {
	b := newHarness(t, fake.Settings{})
	for _, limit := range []int{1, 10, 400} {
		prompt := "clock of Levoča"
		a := b.run(t, newRun("whole", prompt, limit))
		assertComplete(t, a, prompt, limit)
		assert.Contains(t, []string{engine.FinishLength, engine.FinishStop}, a.finish)
	}
}

// TestStreamFaults injects each kind of stream fault on the first connection
// only and, persistently, on every connection.
func TestStreamFaults(t *testing.T) {
	const tokenCount = 20
	prompt := fake.WithLength("dossier of Bardejov", tokenCount)
	tests := []struct {
		name       string
		faults     fake.Faults
		want       error // with the fault on the first connection only; nil for a complete answer
		persistent error // with the fault on every connection
	}{
		{"silent after a token", fake.Faults{SilentAfter: 7}, nil, nil},
		{"silent from the start", fake.Faults{SilentAtStart: true}, nil, engineclient.ErrResponseLost},
		{"reset", fake.Faults{ResetAt: 5}, nil, nil},
		{"cut", fake.Faults{CutAt: 5}, nil, nil},
		{"cut after the last token", fake.Faults{CutAt: tokenCount}, nil, nil},
		{"token repeated", fake.Faults{RepeatAt: 4}, nil, nil},
		{"token left out", fake.Faults{SkipAt: 4}, nil, engineclient.ErrResponseLost},
		{"last token left out", fake.Faults{SkipAt: tokenCount}, nil, engineclient.ErrResponseLost},
		{"token late", fake.Faults{LateAt: 4}, nil, engineclient.ErrResponseLost},
		{"without the last event", fake.Faults{WithoutDone: true}, nil, engineclient.ErrResponseLost},
		{"token missing from usage", fake.Faults{WrongUsage: true}, nil, engineclient.ErrResponseLost},
		{"crossed chunk", fake.Faults{WrongAttemptAt: 6}, engineclient.ErrWrongAttempt, engineclient.ErrWrongAttempt},
		{"crossed header", fake.Faults{WrongAttemptHeader: true}, engineclient.ErrWrongAttempt, engineclient.ErrWrongAttempt},
	}
	for _, test := range tests {
		for _, persistent := range []bool{false, true} {
			name, want := test.name, test.want
			if persistent {
				name, want = name+", persistent", test.persistent
			}
			t.Run(name, func(t *testing.T) {
				b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
				faults := test.faults
				faults.Persistent = persistent
				b.engine.SetFaults(faults)
				run := newRun("fault", prompt, 100)
				a := b.run(t, run)
				assert.Equal(t, 1, b.engine.Runs(run.Request))
				if want == nil {
					assertComplete(t, a, prompt, 100)
					return
				}
				require.ErrorIs(t, a.err, want)
				assert.True(t, engineclient.MayHaveRun(a.err))
				assert.True(t, strings.HasPrefix(fake.ExpectedAnswer(prompt, 100), a.text), "delivered %q", a.text)
				assert.NotContains(t, a.text, "another")
			})
		}
	}
}

// TestResumedAtTheExactToken checks that a stream whose connection goes silent
// after the seventh token resumes with the eighth.
func TestResumedAtTheExactToken(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	b.engine.SetFaults(fake.Faults{SilentAfter: 7})
	prompt := fake.WithLength("findings", 20)
	assertComplete(t, b.run(t, newRun("exact", prompt, 20)), prompt, 20)
	assert.Contains(t, b.log.String(), "stream resumed: event=350 request=r-exact attempt=a-exact upstream=e1 after=7 count=1")
	assert.Equal(t, 1, strings.Count(b.log.String(), "stream resumed"))
	assert.EqualValues(t, 20, b.engine.TokensGenerated())
}

func TestErrorsOfStart(t *testing.T) {
	tests := []struct {
		name       string
		faults     fake.Faults
		crash      bool
		body       []byte
		want       error
		mayHaveRun bool
	}{
		{name: "connection refused", crash: true, want: engineclient.ErrNotRun},
		{name: "not run", faults: fake.Faults{NotRun: true}, want: engineclient.ErrNotRun},
		{name: "unavailable without a promise", faults: fake.Faults{Unavailable: true}, want: engineclient.ErrResponseLost, mayHaveRun: true},
		{name: "no messages", body: []byte(`{"model":"m","max_tokens":4}`), want: engineclient.ErrRefused},
		{name: "not an object", body: []byte(`[1]`), want: engineclient.ErrRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newHarness(t, fake.Settings{})
			b.engine.SetFaults(test.faults)
			if test.crash {
				b.engine.Crash()
			}
			run := newRun("start", "p", 4)
			if test.body != nil {
				run.Body = test.body
			}
			_, err := b.client.Start(t.Context(), b.upstream, run)
			require.ErrorIs(t, err, test.want)
			assert.Equal(t, test.mayHaveRun, engineclient.MayHaveRun(err))
			assert.Zero(t, b.engine.Runs(run.Request))
		})
	}
}

func TestRefusalCarriesStatusAndMessage(t *testing.T) {
	b := newHarness(t, fake.Settings{Models: []engine.LoadedModel{{Model: "other"}}})
	_, err := b.client.Start(t.Context(), b.upstream, newRun("refused", "p", 4))
	var refusal *engineclient.RefusalError
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, 404, refusal.Status)
	assert.Equal(t, "model not loaded", refusal.Message)
}

func TestAnswerPastItsLimitIsCutAndCancelled(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	b.engine.SetFaults(fake.Faults{IgnoresMaxTokens: true})
	prompt := fake.WithLength("quote", 100_000)
	a := b.run(t, newRun("cut", prompt, 12))
	require.NoError(t, a.err)
	assert.Equal(t, fake.ExpectedAnswer(prompt, 12), a.text)
	assert.Equal(t, engine.FinishLength, a.finish)
	assert.Eventually(t, func() bool { return b.engine.Running() == 0 }, 10*time.Second, time.Millisecond)
}

func TestCrashNamesAllRunsInFlight(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	first, err := b.client.Start(t.Context(), b.upstream, newRun("1", fake.WithLength("long", 100_000), 100_000))
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	_, err = first.Next(t.Context())
	require.NoError(t, err)
	b.engine.SetFaults(fake.Faults{CrashOn: "poison"})

	second := b.run(t, newRun("2", "poison", 10))
	var crash, same *engineclient.CrashError
	require.ErrorAs(t, second.err, &crash)
	require.ErrorIs(t, second.err, engineclient.ErrCrashed)
	assert.Equal(t, []engineclient.InFlightRun{{Request: "r-1", Attempt: "a-1"}, {Request: "r-2", Attempt: "a-2"}}, crash.InFlight)
	require.ErrorAs(t, readAnswer(t, first).err, &same)
	assert.Equal(t, crash.Number, same.Number)

	_, err = b.client.Start(t.Context(), b.upstream, newRun("3", "p", 10))
	require.ErrorIs(t, err, engineclient.ErrNotRun)
	b.engine.SetFaults(fake.Faults{})
	require.NoError(t, b.engine.Restart())
	assertComplete(t, b.run(t, newRun("4", "p", 10)), "p", 10)

	b.engine.SetFaults(fake.Faults{CrashOn: "poison"})
	var next *engineclient.CrashError
	require.ErrorAs(t, b.run(t, newRun("5", "poison", 10)).err, &next)
	assert.Equal(t, crash.Number+1, next.Number)
	assert.Equal(t, []engineclient.InFlightRun{{Request: "r-5", Attempt: "a-5"}}, next.InFlight)
}

func TestCrashWithQuickRestart(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	s, err := b.client.Start(t.Context(), b.upstream, newRun("quick", fake.WithLength("long", 100_000), 100_000))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	b.engine.Crash()
	require.NoError(t, b.engine.Restart())
	require.ErrorIs(t, readAnswer(t, s).err, engineclient.ErrCrashed)
}

// TestMutedPoolIsDropped makes the connection of a stream and the pooled
// connections to the same engine go silent. The idle timeout of the pool is an
// hour, so the client must drop the pooled connections itself; a resumption over
// one of them would stall again.
func TestMutedPoolIsDropped(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	b.silenceLimit.Store(int64(time.Hour))
	for i := range 3 {
		assertComplete(t, b.run(t, newRun(fmt.Sprint("warm", i), "p", 10)), "p", 10)
	}
	_, err := b.client.Load(t.Context(), b.upstream)
	require.NoError(t, err)
	b.silenceLimit.Store(int64(silenceLimit))
	prompt := fake.WithLength("stream", 60)
	s, err := b.client.Start(t.Context(), b.upstream, newRun("muted", prompt, 100))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	_, err = b.client.Load(t.Context(), b.upstream) // leaves a connection in the pool
	require.NoError(t, err)
	b.engine.SilenceConnections()
	assertComplete(t, readAnswer(t, s), prompt, 100)
	assertComplete(t, b.run(t, newRun("after", "p", 10)), "p", 10)
	assert.Equal(t, 1, b.engine.Runs("r-after"))
	assert.Equal(t, 1, strings.Count(b.log.String(), "stream resumed"), "the first resumption succeeds")
}

// TestIdleConnectionIsNotReused makes the pooled connections go silent while no
// stream is open that could detect it. They must not be reused after the silence
// limit.
func TestIdleConnectionIsNotReused(t *testing.T) {
	b := newHarness(t, fake.Settings{})
	_, err := b.client.Load(t.Context(), b.upstream)
	require.NoError(t, err)
	b.engine.SilenceConnections()
	time.Sleep(2 * silenceLimit)
	assertComplete(t, b.run(t, newRun("after", "p", 10)), "p", 10)
}

func TestSlowReaderIsNoSilence(t *testing.T) {
	b := newHarness(t, fake.Settings{})
	prompt := fake.WithLength("slow reader", 1000)
	s, err := b.client.Start(t.Context(), b.upstream, newRun("slow", prompt, 1000))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	time.Sleep(2 * silenceLimit)
	assertComplete(t, readAnswer(t, s), prompt, 1000)
	assert.NotContains(t, b.log.String(), "stream resumed")
}

func TestHeartbeatsAreNoSilence(t *testing.T) {
	b := newHarness(t, fake.Settings{Slots: 1, TokenInterval: 5 * time.Millisecond})
	first, err := b.client.Start(t.Context(), b.upstream, newRun("1", fake.WithLength("first", 40), 100))
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	assertComplete(t, b.run(t, newRun("2", "queued", 10)), "queued", 10)
	assert.NotContains(t, b.log.String(), "stream resumed")
}

func TestTakeOver(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	prompt := fake.WithLength("taken over", 40)
	run := newRun("over", prompt, 100)
	s, err := b.client.Start(t.Context(), b.upstream, run)
	require.NoError(t, err)
	text := ""
	for range 11 {
		e, err := s.Next(t.Context())
		require.NoError(t, err)
		text += e.Text
	}
	require.NoError(t, s.Close())

	run.Attempt = "a-second"
	after, err := b.client.Resume(t.Context(), b.upstream, run, s.Received())
	require.NoError(t, err)
	defer func() { _ = after.Close() }()
	rest := readAnswer(t, after)
	require.NoError(t, rest.err)
	assert.Equal(t, fake.ExpectedAnswer(prompt, 100), text+rest.text)
	assert.Equal(t, 1, b.engine.Runs(run.Request))
}

func TestResumeOfUnknownRun(t *testing.T) {
	b := newHarness(t, fake.Settings{})
	_, err := b.client.Resume(t.Context(), b.upstream, newRun("unknown", "p", 4), 3)
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
	require.ErrorIs(t, err, engineclient.ErrUnknownRun)
	b.engine.Crash()
	_, err = b.client.Resume(t.Context(), b.upstream, newRun("unknown", "p", 4), 3)
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
	assert.True(t, engineclient.MayHaveRun(err))
}

func TestContextEndsTheWait(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Hour})
	s, err := b.client.Start(t.Context(), b.upstream, newRun("ctx", "p", 4))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	_, err = s.Next(t.Context())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Millisecond, cancel)
	_, err = s.Next(ctx)
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
	require.ErrorIs(t, err, context.Canceled)
	_, again := s.Next(t.Context())
	assert.Equal(t, err, again)
	assert.Contains(t, b.log.String(), "stream left")
	assert.NotContains(t, b.log.String(), "stream lost")
}

func TestClosedClient(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Hour})
	s, err := b.client.Start(t.Context(), b.upstream, newRun("open", "p", 4))
	require.NoError(t, err)
	_, err = s.Next(t.Context())
	require.NoError(t, err)
	time.AfterFunc(time.Millisecond, func() { _ = b.client.Close() })
	_, err = s.Next(t.Context())
	require.ErrorIs(t, err, engineclient.ErrResponseLost)
	assert.True(t, engineclient.MayHaveRun(err))
	require.NoError(t, b.client.Close())
	_, err = b.client.Start(t.Context(), b.upstream, newRun("closed", "p", 4))
	require.ErrorIs(t, err, engineclient.ErrClosed)
	assert.False(t, engineclient.MayHaveRun(err))
}

func TestCollect(t *testing.T) {
	b := newHarness(t, fake.Settings{TokenInterval: time.Millisecond})
	s, err := b.client.Start(t.Context(), b.upstream, newRun("collect", "p", 10))
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	c, err := engine.Collect(t.Context(), s, "a-collect", "m", 0)
	require.NoError(t, err)
	assert.Equal(t, fake.ExpectedAnswer("p", 10), c.Choices[0].Message.Content)

	b.engine.SetFaults(fake.Faults{SkipAt: 3, Persistent: true})
	cut, err := b.client.Start(t.Context(), b.upstream, newRun("cut", "p", 10))
	require.NoError(t, err)
	defer func() { _ = cut.Close() }()
	_, err = engine.Collect(t.Context(), cut, "a-cut", "m", 0)
	require.True(t, errors.Is(err, engineclient.ErrResponseLost))
}
