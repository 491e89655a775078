package mirror

import (
	"fmt"
	"strings"
	"time"
)

// maxWaits is the maximum length of a waitLog.
const maxWaits = 24

// waitLog holds the last waits of a mirror, the oldest first.
type waitLog []wait

// wait is a time that passed without a read.
type wait struct {
	reason       string
	began, ended time.Time
}

// add adds a wait and drops the oldest if there are too many.
func (l *waitLog) add(w wait) {
	if *l = append(*l, w); len(*l) > maxWaits {
		*l = (*l)[1:]
	}
}

// describe returns the waits as text, each with the time since it began and its duration.
func (l waitLog) describe(now time.Time) string {
	parts := make([]string, len(l))
	for i, w := range l {
		parts[i] = fmt.Sprintf("%v ago: %s, %v", now.Sub(w.began).Round(time.Millisecond), w.reason, w.ended.Sub(w.began).Round(time.Millisecond))
	}
	return strings.Join(parts, "; ")
}

// recordWait records that a wait for a reason, which began at a time, has ended.
func (m *Mirror) recordWait(reason string, began time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waits.add(wait{reason: reason, began: began, ended: m.settings.Clock()})
}
