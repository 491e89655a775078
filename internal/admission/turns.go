package admission

import (
	"math"
	"math/bits"

	"example.org/lagoonfork/pkg/ident"
)

// turns goes through the waiting requests in the order in which they would be admitted, without
// admitting them. Its buffers are kept between uses.
type turns struct {
	heap    []turn // the customer with the next request comes first
	cursors []cursor
}

// turn is the next turn of a customer.
type turn struct {
	start  uint64 // bits of the virtual start time, which is not negative, so that they have its order
	oldest uint64 // place of the customer's oldest request in the order of arrival
	cursor int
}

// cursor is a position in the queue of a customer.
type cursor struct {
	queue      *queue
	admissions int
	left       uint16             // set of the priorities with requests after the cursor
	passed     [priorities]uint16 // requests before the cursor, by priority
}

// walk calls admit with each waiting request in the order of admission. Requests for which it returns
// false do not take a turn.
func (s *turns) walk(customers map[ident.Customer]*queue, admit func(*queue, *Ticket) bool) {
	s.reset(customers)
	for len(s.heap) > 0 {
		next := &s.heap[0]
		c := &s.cursors[next.cursor]
		p := c.next()
		t := c.queue.byPriority[p][c.passed[p]]
		c.passed[p]++
		if int(c.passed[p]) == len(c.queue.byPriority[p]) {
			c.left &^= 1 << p
		}
		if admit(c.queue, t) {
			c.admissions++
			next.start = math.Float64bits(math.Float64frombits(next.start) + float64(t.request.Tokens)/c.queue.weight)
		}
		if c.left == 0 {
			last := len(s.heap) - 1
			s.heap[0] = s.heap[last]
			s.heap = s.heap[:last]
		} else {
			_, next.oldest = c.oldest()
		}
		if len(s.heap) > 0 {
			s.sink(0)
		}
	}
	clear(s.cursors)
}

// reset puts all cursors before the first requests.
func (s *turns) reset(customers map[ident.Customer]*queue) {
	s.heap, s.cursors = s.heap[:0], s.cursors[:0]
	for _, q := range customers {
		if q.waiting == 0 {
			continue
		}
		c := cursor{queue: q, admissions: q.admissions}
		for p, all := range q.byPriority {
			if len(all) > 0 {
				c.left |= 1 << p
			}
		}
		_, oldest := c.oldest()
		s.heap = append(s.heap, turn{start: math.Float64bits(q.lastFinish), oldest: oldest, cursor: len(s.cursors)})
		s.cursors = append(s.cursors, c)
	}
	for i := len(s.heap)/2 - 1; i >= 0; i-- {
		s.sink(i)
	}
}

// next returns the priority of the next request, as queue.next does.
func (c *cursor) next() int {
	if c.admissions%inOrder == inOrder-1 {
		p, _ := c.oldest()
		return p
	}
	return bits.TrailingZeros16(c.left)
}

// oldest returns the priority of the request after the cursor that has waited longest, and its place
// in the order of arrival.
func (c *cursor) oldest() (priority int, arrival uint64) {
	for left := c.left; left != 0; left &= left - 1 {
		p := bits.TrailingZeros16(left)
		if t := c.queue.byPriority[p][c.passed[p]]; arrival == 0 || t.arrival < arrival {
			priority, arrival = p, t.arrival
		}
	}
	return priority, arrival
}

// before returns 1 if a turn comes before another one, as in nextQueue, and 0 otherwise. It has no
// branches, since half of them would be predicted wrongly.
func (a *turn) before(b *turn) uint64 {
	_, borrow := bits.Sub64(a.oldest, b.oldest, 0)
	_, borrow = bits.Sub64(a.start, b.start, borrow)
	return borrow
}

// sink restores the order of the heap below an element, which mostly goes to the bottom.
func (s *turns) sink(i int) {
	heap, from, moved := s.heap, i, s.heap[i]
	for child := 2*i + 1; child < len(heap); child = 2*i + 1 {
		if child+1 < len(heap) {
			child += int(heap[child+1].before(&heap[child]))
		}
		heap[i] = heap[child]
		i = child
	}
	for i > from {
		parent := (i - 1) / 2
		if moved.before(&heap[parent]) == 0 {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = moved
}
