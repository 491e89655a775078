package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

const modelRetention = time.Hour

// model is the account of one budget as its users see it from results alone.
type model struct {
	page     Page
	now      time.Time
	prepaid  tokens.Count
	toppedUp map[ident.TopUp]tokens.Count
	held     map[ident.Incarnation]tokens.Count
	sequence map[ident.Incarnation]uint64
	billed   map[ident.Request]tokens.Count
	opened   map[ident.Request]time.Time
	once     map[ident.Request]bool
	sent     []Op
	segments map[SegmentID]*Segment
}

func newModel() *model {
	return &model{
		now: start, prepaid: 1000,
		toppedUp: make(map[ident.TopUp]tokens.Count),
		held:     make(map[ident.Incarnation]tokens.Count),
		sequence: make(map[ident.Incarnation]uint64),
		billed:   make(map[ident.Request]tokens.Count),
		opened:   make(map[ident.Request]time.Time),
		once:     make(map[ident.Request]bool),
		segments: make(map[SegmentID]*Segment),
	}
}

// send applies op, and at random applies it again as a writer does whose answer
// was lost. The second time must change nothing.
func (m *model) send(t *rapid.T, op Op) Result {
	m.recall(op)
	r := m.page.Apply(op, m.now)
	m.sent = append(m.sent, op)
	changes := m.page.Changes()
	again := m.page.Apply(op, m.now)
	require.Equal(t, r, again, "%+v repeated", op)
	require.Equal(t, changes, m.page.Changes(), "%+v repeated changes the page", op)
	return r
}

func (m *model) holder(t *rapid.T) ident.Incarnation {
	return rapid.SampledFrom([]ident.Incarnation{"a", "b", "c"}).Draw(t, "holder")
}

func (m *model) claim(t *rapid.T, holder ident.Incarnation) Claim {
	id := ident.Request(fmt.Sprintf("r%d", rapid.IntRange(0, 11).Draw(t, "request")))
	if _, ok := m.opened[id]; !ok {
		m.opened[id] = m.now
		m.once[id] = rapid.Bool().Draw(t, "once")
	}
	reserved := tokens.Count(rapid.IntRange(0, 80).Draw(t, "reserved"))
	c := claim(id, holder, reserved, tokens.Count(rapid.IntRange(0, int(reserved)).Draw(t, "cost")))
	c.Opened = m.opened[id]
	c.Idempotent = !m.once[id]
	return c
}

func (m *model) Draw(t *rapid.T) {
	h := m.holder(t)
	want := tokens.Count(rapid.IntRange(1, 400).Draw(t, "want"))
	free := m.free()
	r := m.send(t, draw(h, m.sequence[h]+1, want))
	if r.Outcome == Exhausted {
		require.Zero(t, free, "refused with free tokens")
		return
	}
	require.Equal(t, Applied, r.Outcome)
	require.Equal(t, min(want, free), r.Granted)
	m.sequence[h]++
	m.held[h] += r.Granted
}

func (m *model) Return(t *rapid.T) {
	h := m.holder(t)
	n := tokens.Count(rapid.IntRange(1, 400).Draw(t, "tokens"))
	r := m.send(t, handBack(h, m.sequence[h]+1, n))
	if r.Outcome == ShareGone {
		require.Zero(t, m.held[h])
		return
	}
	require.LessOrEqual(t, r.Granted, m.held[h])
	m.sequence[h]++
	m.held[h] -= r.Granted
}

func (m *model) Open(t *rapid.T) {
	h := m.holder(t)
	c := m.claim(t, h)
	r := m.send(t, open(c))
	if r.Outcome == Applied && r.Claim.State == StateOpen {
		_, billed := m.billed[c.Request]
		require.False(t, billed, "opened after the bill")
	}
}

func (m *model) Settle(t *rapid.T) {
	h := m.holder(t)
	c := m.claim(t, h)
	delivered := c.Idempotent && rapid.Bool().Draw(t, "delivered")
	m.recall(settle(c, delivered))
	before, found := m.page.Find("b", c.Request)
	free := m.free()
	r := m.send(t, settle(c, delivered))
	_, billed := m.billed[c.Request]
	if found && before.State == StateOpen && before.Holder != h && r.Outcome != Existing {
		require.True(t, delivered)
		m.held[before.Holder] -= before.Reserved
		free += before.Reserved
	}
	if r.Outcome == WrittenOff && before.State != StateWrittenOff {
		require.Less(t, free, c.Cost, "written off with free tokens")
	}
	if r.Outcome != Applied {
		return
	}
	if billed {
		require.Equal(t, StateSettled, before.State, "billed twice")
		require.Equal(t, h, before.Holder)
		return
	}
	m.billed[c.Request] = c.Cost
	if m.held[h] >= c.Cost && m.page.Budgets["b"].sharedBy(h) == m.held[h]-c.Cost {
		m.held[h] -= c.Cost
		return
	}
	require.True(t, delivered)
	require.GreaterOrEqual(t, free, c.Cost)
}

func (m *model) Release(t *rapid.T) {
	h := m.holder(t)
	c := m.claim(t, h)
	m.send(t, release(c.Request, h, rapid.Bool().Draw(t, "uncertain")))
}

func (m *model) TakeOver(t *rapid.T) {
	from, to := m.holder(t), m.holder(t)
	id := m.claim(t, from).Request
	m.recall(takeOver(id, from, to))
	before, _ := m.page.Find("b", id)
	r := m.send(t, takeOver(id, from, to))
	if r.Outcome == Applied && before.Holder == from {
		m.held[from] -= before.Reserved
		m.held[to] += before.Reserved
	}
}

func (m *model) TopUp(t *rapid.T) {
	id := ident.TopUp(rapid.SampledFrom([]string{"t", "u", "v"}).Draw(t, "id"))
	n := tokens.Count(rapid.IntRange(1, 300).Draw(t, "tokens"))
	if m.send(t, topUp(id, n)).Outcome == Applied {
		m.toppedUp[id] = n
	}
}

func (m *model) Reclaim(t *rapid.T) {
	h := m.holder(t)
	m.send(t, reclaim(h))
	m.held[h] = 0
	m.sequence[h] = 0
}

// Late applies an op again that was sent before, as a network does that
// duplicates and delays. It may bill nothing a second time. A draw or return
// of a reclaimed holder is not among them: its incarnation has ended.
func (m *model) Late(t *rapid.T) {
	if len(m.sent) == 0 {
		return
	}
	op := rapid.SampledFrom(m.sent).Draw(t, "op")
	if op.Settle == nil && op.TopUp == nil {
		return
	}
	_, billed := m.billed[request(op)]
	settled := m.settled()
	m.recall(op)
	r := m.page.Apply(op, m.now)
	if op.Settle == nil || billed {
		require.Equal(t, settled, m.settled(), "billed again")
		return
	}
	if r.Outcome == Applied {
		m.billed[request(op)] = op.Settle.Claim.Cost
		m.held = m.page.heldOf("b")
	}
}

func (m *model) Prune(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "minutes")) * time.Minute)
	m.page.Prune(m.now, modelRetention)
}

// Seal moves ended claims to a segment.
func (m *model) Seal(t *rapid.T) {
	s, ref, ok := m.page.Seal(0)
	if !ok {
		return
	}
	data, id, err := EncodeSegment(s)
	require.NoError(t, err)
	m.segments[id], err = DecodeSegment(data)
	require.NoError(t, err)
	ref.ID = id
	m.page.List(ref)
}

// recall puts the sealed claim that op concerns back on the page.
func (m *model) recall(op Op) {
	for _, ref := range slices.Backward(m.page.Sealed) {
		if c, ok := m.segments[ref.ID].Find(op.Budget, op.Request()); ok {
			m.page.Recall(op.Budget, c)
		}
	}
}

// Reload decodes the page from its encoding.
func (m *model) Reload(t *rapid.T) {
	data, err := Encode(&m.page)
	require.NoError(t, err)
	p, err := Decode(data)
	require.NoError(t, err)
	again, err := Encode(p)
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	m.page = *p
}

// Check compares the page with the model after each op.
func (m *model) Check(t *rapid.T) {
	require.NoError(t, m.page.Check())
	require.Equal(t, m.sum(), m.settled(), "settled")
	b := m.page.Budgets["b"]
	if b == nil {
		return
	}
	for h, n := range m.held {
		require.Equal(t, n, b.sharedBy(h), "share of %s", h)
	}
	require.Equal(t, m.free(), b.Free(), "free")
	require.LessOrEqual(t, b.Settled, b.Prepaid())
}

func (m *model) sum() (n tokens.Count) {
	for _, cost := range m.billed {
		n += cost
	}
	return n
}

// free returns what the model has left to share out. A budget that was only
// topped up has no funding yet; its first draw brings it.
func (m *model) free() tokens.Count {
	n := m.prepaid - m.sum()
	if b := m.page.Budgets["b"]; b != nil && b.Funding == (Funding{}) {
		n -= m.prepaid
	}
	for _, t := range m.toppedUp {
		n += t
	}
	for _, held := range m.held {
		n -= held
	}
	return n
}

func (m *model) settled() tokens.Count {
	if b := m.page.Budgets["b"]; b != nil {
		return b.Settled
	}
	return 0
}

func request(op Op) ident.Request {
	if op.Settle == nil {
		return ""
	}
	return op.Settle.Claim.Request
}

func (b *Budget) sharedBy(h ident.Incarnation) tokens.Count {
	if s := b.Shares[h]; s != nil {
		return s.Granted
	}
	return 0
}

func (p *Page) heldOf(id ident.Budget) map[ident.Incarnation]tokens.Count {
	held := make(map[ident.Incarnation]tokens.Count)
	for h, s := range p.Budgets[id].Shares {
		held[h] = s.Granted
	}
	return held
}

func TestPageAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.send(t, draw("a", 1, 1))
		m.held["a"], m.sequence["a"] = 1, 1
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func FuzzDecode(f *testing.F) {
	var p Page
	p.Apply(draw("a", 1, 500), start)
	p.Apply(open(claim("r", "a", 10, 0)), start)
	p.Apply(topUp("t", 10), start)
	data, err := Encode(&p)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"budgets":{"b":null}}`))
	f.Add([]byte(`{"budgets":{"b":{"funding":{"customer":"","prepaid":1,"revision":0},"settled":2}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := Decode(data)
		if err != nil {
			return
		}
		require.NoError(t, p.Check())
		once, err := Encode(p)
		require.NoError(t, err)
		q, err := Decode(once)
		require.NoError(t, err)
		twice, err := Encode(q)
		require.NoError(t, err)
		require.Equal(t, string(once), string(twice))
		q.Apply(draw("z", 1, 1), start)
		require.NoError(t, q.Check())
	})
}

func FuzzDecodeSegment(f *testing.F) {
	var p Page
	p.Apply(draw("a", 1, 500), start)
	p.Apply(settle(claim("r", "a", 10, 5), false), start)
	s, _, ok := p.Seal(0)
	require.True(f, ok)
	data, _, err := EncodeSegment(s)
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte(`{"claims":{"b":{"r":null}}}`))
	f.Add([]byte(`{"claims":{"b":{"r":{"request":"r","state":"open"}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSegment(data)
		if err != nil {
			return
		}
		once, id, err := EncodeSegment(s)
		require.NoError(t, err)
		s, err = DecodeSegment(once)
		require.NoError(t, err)
		_, again, err := EncodeSegment(s)
		require.NoError(t, err)
		require.Equal(t, id, again)
	})
}

func TestDecodeRefuses(t *testing.T) {
	tests := []struct{ name, data string }{
		{"unknown field", `{"budgets":{},"other":1}`},
		{"trailing data", `{"budgets":{}} {}`},
		{"overspent", `{"budgets":{"b":{"funding":{"customer":"","prepaid":1,"revision":0},"settled":2}}}`},
		{"no budget", `{"budgets":{"b":null}}`},
		{"no share", `{"budgets":{"b":{"funding":{"customer":"","prepaid":1,"revision":0},"settled":0,"shares":{"a":null}}}}`},
		{"no claim", `{"budgets":{"b":{"funding":{"customer":"","prepaid":1,"revision":0},"settled":0,"claims":{"a":null}}}}`},
		{"negative", `{"budgets":{"b":{"funding":{"customer":"","prepaid":1,"revision":0},"settled":-1}}}`},
		{"reserved without a claim", `{"budgets":{"b":{"funding":{"customer":"","prepaid":9,"revision":0},"settled":0,"shares":{"a":{"granted":5,"reserved":1,"sequence":1,"moved":5}}}}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(tt.data))
			assert.Error(t, err)
		})
	}
}
