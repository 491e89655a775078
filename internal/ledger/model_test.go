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

// model tracks the expected state of one budget from the results of ops alone.
type model struct {
	page          Page
	now           time.Time
	prepaid       tokens.Count
	topUps        map[ident.TopUp]tokens.Count
	shares        map[ident.Incarnation]tokens.Count
	sequence      map[ident.Incarnation]uint64
	billed        map[ident.Request]tokens.Count
	openedAt      map[ident.Request]time.Time
	nonIdempotent map[ident.Request]bool
	sent          []Op
	segments      map[SegmentID]*Segment
}

func newModel() *model {
	return &model{
		now: start, prepaid: 1000,
		topUps:        make(map[ident.TopUp]tokens.Count),
		shares:        make(map[ident.Incarnation]tokens.Count),
		sequence:      make(map[ident.Incarnation]uint64),
		billed:        make(map[ident.Request]tokens.Count),
		openedAt:      make(map[ident.Request]time.Time),
		nonIdempotent: make(map[ident.Request]bool),
		segments:      make(map[SegmentID]*Segment),
	}
}

// send applies op twice, like a writer that lost the first response. The second
// time must return the same result and change nothing.
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
	if _, ok := m.openedAt[id]; !ok {
		m.openedAt[id] = m.now
		m.nonIdempotent[id] = rapid.Bool().Draw(t, "once")
	}
	reserved := tokens.Count(rapid.IntRange(0, 80).Draw(t, "reserved"))
	c := newClaim(id, holder, reserved, tokens.Count(rapid.IntRange(0, int(reserved)).Draw(t, "cost")))
	c.Opened = m.openedAt[id]
	c.Idempotent = !m.nonIdempotent[id]
	return c
}

func (m *model) Draw(t *rapid.T) {
	h := m.holder(t)
	want := tokens.Count(rapid.IntRange(1, 400).Draw(t, "want"))
	free := m.free()
	r := m.send(t, drawOp(h, m.sequence[h]+1, want))
	if r.Outcome == Exhausted {
		require.Zero(t, free, "refused although tokens are free")
		return
	}
	require.Equal(t, Applied, r.Outcome)
	require.Equal(t, min(want, free), r.Granted)
	m.sequence[h]++
	m.shares[h] += r.Granted
}

func (m *model) Return(t *rapid.T) {
	h := m.holder(t)
	n := tokens.Count(rapid.IntRange(1, 400).Draw(t, "tokens"))
	r := m.send(t, returnOp(h, m.sequence[h]+1, n))
	if r.Outcome == ShareGone {
		require.Zero(t, m.shares[h])
		return
	}
	require.LessOrEqual(t, r.Granted, m.shares[h])
	m.sequence[h]++
	m.shares[h] -= r.Granted
}

func (m *model) Open(t *rapid.T) {
	h := m.holder(t)
	c := m.claim(t, h)
	r := m.send(t, openOp(c))
	if r.Outcome == Applied && r.Claim.State == StateOpen {
		_, billed := m.billed[c.Request]
		require.False(t, billed, "opened after it was billed")
	}
}

func (m *model) Settle(t *rapid.T) {
	h := m.holder(t)
	c := m.claim(t, h)
	delivered := c.Idempotent && rapid.Bool().Draw(t, "delivered")
	m.recall(settleOp(c, delivered))
	before, found := m.page.Find("b", c.Request)
	free := m.free()
	r := m.send(t, settleOp(c, delivered))
	_, billed := m.billed[c.Request]
	if found && before.State == StateOpen && before.Holder != h && r.Outcome != Existing {
		require.True(t, delivered)
		m.shares[before.Holder] -= before.Reserved
		free += before.Reserved
	}
	if r.Outcome == WrittenOff && before.State != StateWrittenOff {
		require.Less(t, free, c.Cost, "written off although tokens are free")
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
	if m.shares[h] >= c.Cost && m.page.Budgets["b"].grantedTo(h) == m.shares[h]-c.Cost {
		m.shares[h] -= c.Cost
		return
	}
	require.True(t, delivered)
	require.GreaterOrEqual(t, free, c.Cost)
}

func (m *model) Release(t *rapid.T) {
	h := m.holder(t)
	c := m.claim(t, h)
	m.send(t, releaseOp(c.Request, h, rapid.Bool().Draw(t, "uncertain")))
}

func (m *model) TakeOver(t *rapid.T) {
	from, to := m.holder(t), m.holder(t)
	id := m.claim(t, from).Request
	m.recall(takeOverOp(id, from, to))
	before, _ := m.page.Find("b", id)
	r := m.send(t, takeOverOp(id, from, to))
	if r.Outcome == Applied && before.Holder == from {
		m.shares[from] -= before.Reserved
		m.shares[to] += before.Reserved
	}
}

func (m *model) TopUp(t *rapid.T) {
	id := ident.TopUp(rapid.SampledFrom([]string{"t", "u", "v"}).Draw(t, "id"))
	n := tokens.Count(rapid.IntRange(1, 300).Draw(t, "tokens"))
	if m.send(t, topUpOp(id, n)).Outcome == Applied {
		m.topUps[id] = n
	}
}

func (m *model) Reclaim(t *rapid.T) {
	h := m.holder(t)
	m.send(t, reclaimOp(h))
	m.shares[h] = 0
	m.sequence[h] = 0
}

// Late applies an earlier settle or top-up again, like a network that duplicates
// and delays messages. Nothing may be billed a second time. Draws and returns are
// excluded, because the incarnation of a reclaimed holder has ended.
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
		m.shares = m.page.grantedByHolder("b")
	}
}

func (m *model) Prune(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "minutes")) * time.Minute)
	m.page.Prune(m.now, modelRetention)
}

// Seal moves ended claims to a segment.
func (m *model) Seal(t *rapid.T) {
	s, ref, ok := m.page.MoveToSegment(0)
	if !ok {
		return
	}
	data, id, err := EncodeSegment(s)
	require.NoError(t, err)
	m.segments[id], err = DecodeSegment(data)
	require.NoError(t, err)
	ref.ID = id
	m.page.AddSegment(ref)
}

// recall copies the sealed claim of the op's request back to the page.
func (m *model) recall(op Op) {
	for _, ref := range slices.Backward(m.page.Segments) {
		if c, ok := m.segments[ref.ID].Find(op.Budget, op.Request()); ok {
			m.page.RestoreClaim(op.Budget, c)
		}
	}
}

// Reload replaces the page by its encoded and decoded copy.
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
	require.Equal(t, m.totalBilled(), m.settled(), "settled")
	b := m.page.Budgets["b"]
	if b == nil {
		return
	}
	for h, n := range m.shares {
		require.Equal(t, n, b.grantedTo(h), "share of %s", h)
	}
	require.Equal(t, m.free(), b.Free(), "free")
	require.LessOrEqual(t, b.Settled, b.Prepaid())
}

func (m *model) totalBilled() (n tokens.Count) {
	for _, cost := range m.billed {
		n += cost
	}
	return n
}

// free returns the expected number of free tokens. A budget that was only topped
// up has no funding before its first draw.
func (m *model) free() tokens.Count {
	n := m.prepaid - m.totalBilled()
	if b := m.page.Budgets["b"]; b != nil && b.Funding == (Funding{}) {
		n -= m.prepaid
	}
	for _, t := range m.topUps {
		n += t
	}
	for _, held := range m.shares {
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

func (b *Budget) grantedTo(h ident.Incarnation) tokens.Count {
	if s := b.Shares[h]; s != nil {
		return s.Granted
	}
	return 0
}

func (p *Page) grantedByHolder(id ident.Budget) map[ident.Incarnation]tokens.Count {
	granted := make(map[ident.Incarnation]tokens.Count)
	for h, s := range p.Budgets[id].Shares {
		granted[h] = s.Granted
	}
	return granted
}

func TestPageAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.send(t, drawOp("a", 1, 1))
		m.shares["a"], m.sequence["a"] = 1, 1
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func FuzzDecode(f *testing.F) {
	var p Page
	p.Apply(drawOp("a", 1, 500), start)
	p.Apply(openOp(newClaim("r", "a", 10, 0)), start)
	p.Apply(topUpOp("t", 10), start)
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
		q.Apply(drawOp("z", 1, 1), start)
		require.NoError(t, q.Check())
	})
}

func FuzzDecodeSegment(f *testing.F) {
	var p Page
	p.Apply(drawOp("a", 1, 500), start)
	p.Apply(settleOp(newClaim("r", "a", 10, 5), false), start)
	s, _, ok := p.MoveToSegment(0)
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
