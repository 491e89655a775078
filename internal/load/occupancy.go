package load

// QueueFactor is the number of requests for each slot of an upstream that keep it busy: those that
// run, and a short queue. Upstreams serve their queues by priority, regardless of the customer: during
// a burst of one customer, 0.24 to 0.63 of the least urgent requests of others are served with a factor of
// 2, 0.89 to 0.96 with 1.25, and 0.98 to 0.99 with 1.1 (docs/design/queue.md).
const QueueFactor = 1.1

// Occupancy describes the slots of the usable upstreams of a service, as one router knows them.
type Occupancy struct {
	Upstreams int
	Slots     int
	// Unstated reports that an upstream does not say how many slots it has.
	Unstated bool
	// Viewed reports that the requests of the other routers are known. Others is their number, with
	// up to maxPerSlot for each slot of an upstream, and Busy the number of slots that they and the
	// requests of this router take.
	Viewed       bool
	Others, Busy int
	// Idle is the number of slots that are idle by what upstreams said in the last second and by the
	// requests of this router.
	Idle int
}

// maxPerSlot is the number of requests for each slot of an upstream that count. More of them, such as
// those with a popular prompt, must not keep requests from the other upstreams.
const maxPerSlot = 2 * QueueFactor

// Add counts the requests of the other routers and of this one on an upstream.
func (o *Occupancy) Add(others, own, slots int) {
	o.Others += min(others, int(maxPerSlot*float64(slots)))
	o.Busy += min(others+own, slots)
}
