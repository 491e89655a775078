package store

// Revision orders the changes of a store: by the era and then by a counter that
// increases with each change. The counter goes back when the store is restored from an
// older copy, and the same values are then given out again in the next era. The
// revision of an absent key has the counter 0.
type Revision int64

const (
	// counterBits is the number of low bits that hold the counter.
	counterBits = 47
	maxCounter  = 1<<counterBits - 1
)

// NewRevision returns the revision of a counter in an era. A counter that is out of range
// is changed to the nearest one in range.
func NewRevision(e Era, counter int64) Revision {
	return Revision(min(max(e, 0), MaxEra))<<counterBits | Revision(min(max(counter, 0), maxCounter))
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era { return Era(r >> counterBits) }

// Counter returns the counter of the revision within its era.
func (r Revision) Counter() int64 { return int64(r & maxCounter) }
