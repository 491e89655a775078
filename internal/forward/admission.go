package forward

import (
	"math/rand/v2"
	"net/http"

	"example.org/lagoonfork/internal/queue"
)

// enter waits until the request may be sent to an upstream. While it waits, it does not keep
// other requests with a suspect part from running, so that the quarantine decides anew after it.
// If enter returns false, the request has ended.
func (t *transfer) enter() bool {
	q := t.f.settings.Queue
	if q == nil {
		return true
	}
	r := queue.Request{Service: t.r.Service.ID, Customer: t.r.customerID(), Priority: t.r.Priority, Deadline: t.r.Expires()}
	if t.r.Customer != nil {
		r.Weight = t.r.Customer.Weight
	}
	place, refused := q.Join(t.now(), r)
	if refused != nil {
		t.f.refuse(t.w, t.r, t.queueTooLong(refused))
		return false
	}
	t.place = place
	if place.Admitted() {
		return true
	}
	t.admission.End()
	refused, err := place.Wait(t.ctx)
	if refused != nil {
		t.f.refuse(t.w, t.r, t.queueTooLong(refused))
		return false
	}
	if err != nil {
		t.finishFailed("queueTooLong")
		return false
	}
	if refused := t.begin(); refused != nil {
		t.f.refuse(t.w, t.r, *refused)
		return false
	}
	return true
}

// queueTooLong returns the refusal of a request that the queue has refused.
func (t *transfer) queueTooLong(refused *queue.Refusal) refusal {
	left := t.r.Expires().Sub(t.now())
	return refusal{
		status: http.StatusServiceUnavailable, reason: "queueTooLong",
		retryAfter: queue.RetryAfter(refused.Wait, left, rand.Float64()), details: refused.Fields(),
	}
}
