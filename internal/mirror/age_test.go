package mirror

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/event"
	"example.org/lagoonfork/internal/outage"
	"example.org/lagoonfork/pkg/store"
)

// eventLog records the fields of one event.
type eventLog struct {
	hclog.Logger
	message string
	logged  [][]any
}

func (l *eventLog) Warn(message string, fields ...any) {
	if message == l.message {
		l.logged = append(l.logged, fields)
	}
}

// TestLateReadIsLogged guards against copies that are out of date for too long without a line that
// says what their reads waited for.
func TestLateReadIsLogged(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }
	var now time.Time
	log := &eventLog{Logger: hclog.NewNullLogger(), message: event.CopyOverdue.Name}
	m := &Mirror{settings: Settings{Name: "test", MaxAge: 2 * time.Second, Outage: new(outage.Outage), Clock: func() time.Time { return now }, Log: log}}
	read := func(d time.Duration) {
		now = at(d)
		m.recordServiceRead(now)
	}
	read(0)
	read(2 * time.Second)
	assert.Empty(t, log.logged, "in time")
	now = at(4500 * time.Millisecond)
	m.recordWait("relay 10.0.0.1:9000", at(3500*time.Millisecond))
	read(5 * time.Second)
	assert.Equal(t, [][]any{{"event", event.CopyOverdue.Number, "mirror", "test", "age", 3 * time.Second, "late", time.Second, "waits", "1.5s ago: relay 10.0.0.1:9000, 1s"}}, log.logged)
	m.settings.Outage.Record(at(6*time.Second), at(7*time.Second), store.ErrUnavailable)
	read(9 * time.Second)
	assert.Len(t, log.logged, 1, "3 s after the beginning of a failed call")
	m.settings.Outage.Record(at(10*time.Second), at(11*time.Second), store.ErrUnavailable)
	read(13*time.Second + 1)
	assert.Len(t, log.logged, 2)
	assert.Equal(t, 7*time.Second, m.CopyAge(at(20*time.Second+1)))
}
