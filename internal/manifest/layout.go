package manifest

import (
	"errors"
	"math/bits"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Errors of decoding manifests and assembling documents.
var (
	// ErrMissing reports a part that is not stored or not among those given.
	ErrMissing = errors.New("part is missing")
	// ErrMalformed reports a manifest that does not describe a complete
	// configuration, or a part whose content does not match its digest.
	ErrMalformed = errors.New("malformed manifest or part")
)

// Limits of a layout.
const (
	// maxBuckets keeps a manifest below 100 kB.
	maxBuckets = 2048
	// groupSize is the number of rows up to which all rows of a customer, which
	// are its budgets and applications, are stored in one bucket.
	groupSize = 32
	// maxSizeRatio is the factor by which the number of buckets may differ from
	// the optimum before all parts are rewritten.
	maxSizeRatio = 2
)

// Layout is the number of buckets of a document, a power of two.
type Layout int

// LayoutFor returns the layout for a document with the given number of rows. It
// returns current, if not 0, as long as that differs from the optimum by no more
// than the factor maxSizeRatio.
//
// With B buckets, each router reads a manifest of about 46*B bytes and a bucket
// of about 150*rows/B bytes after a change. The sum is smallest for B near the
// square root of 3*rows.
func LayoutFor(rows int, current Layout) Layout {
	best := 1
	for best*best < 3*rows && best < maxBuckets {
		best *= 2
	}
	if current > 0 && int(current) <= best*maxSizeRatio && best <= int(current)*maxSizeRatio {
		return current
	}
	return Layout(best)
}

// groupCount returns the number of groups into which a customer's rows are
// hashed. It is a power of two, so that it changes rarely as rows are added.
func groupCount(rows int) int {
	if rows <= groupSize {
		return 1
	}
	return 1 << bits.Len(uint((rows-1)/groupSize))
}

// bucketOf returns the index of the bucket that holds a row of a customer whose
// rows are hashed into the given number of groups.
func (l Layout) bucketOf(customer, row string, groups int) int {
	group := xxhash.Sum64String(row) & uint64(groups-1)
	return int(xxhash.Sum64String(customer+"/"+strconv.FormatUint(group, 10)) & uint64(l-1))
}

// homeBucket returns the index of the bucket that holds a customer's name and
// weight. It is the bucket of the customer's group 0.
func (l Layout) homeBucket(customer string) int {
	return int(xxhash.Sum64String(customer+"/0") & uint64(l-1))
}

func isPowerOfTwo(n int) bool {
	return n > 0 && n&(n-1) == 0
}
