package manifest

import (
	"errors"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Errors of assembling documents.
var (
	// ErrMissing reports a part that is not at hand.
	ErrMissing = errors.New("part is missing")
	// ErrMalformed reports a manifest that names no complete document.
	ErrMalformed = errors.New("manifest is malformed")
)

// Bounds of a layout.
const (
	// maxBuckets keeps a manifest below 100 kB.
	maxBuckets = 2048
	// groupSize is the number of rows of one customer that stay together.
	groupSize = 32
	// tolerance is the factor by which the number of buckets may differ from
	// the best one before all parts are written again.
	tolerance = 2
)

// Layout is the number of buckets of a document. It is a power of two.
type Layout int

// LayoutFor returns the layout for a number of budgets and applications. A
// layout in use, if not 0, is kept while it serves nearly as well.
//
// With B buckets, a change makes each router read a manifest of some 46 B
// bytes and a bucket of some 150 rows/B bytes, so that the best B is near the
// square root of 3 rows.
func LayoutFor(rows int, inUse Layout) Layout {
	best := 1
	for best*best < 3*rows && best < maxBuckets {
		best *= 2
	}
	if inUse > 0 && int(inUse) <= best*tolerance && best <= int(inUse)*tolerance {
		return inUse
	}
	return Layout(best)
}

// groups returns the number of groups that a customer's rows are spread over.
// It is a power of two, so that it changes rarely.
func groups(rows int) int {
	if rows <= groupSize {
		return 1
	}
	return 1 << bits.Len(uint((rows-1)/groupSize))
}

// bucketOf returns the bucket of a row of a customer.
func (l Layout) bucketOf(customer, row string, groups int) int {
	group := xxhash.Sum64String(row) & uint64(groups-1)
	return int(xxhash.Sum64String(customer+"/"+strconv.FormatUint(group, 10)) & uint64(l-1))
}

// home returns the bucket of a customer's own row.
func (l Layout) home(customer string) int {
	return int(xxhash.Sum64String(customer+"/0") & uint64(l-1))
}

func isPowerOfTwo(n int) bool {
	return n > 0 && n&(n-1) == 0
}
