package publication_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/internal/publication"
	"example.org/lagoonfork/pkg/store"
)

// customerCounts are numbers of customers. With 232 budgets each, they have about
// 1,600, 16,000 and 160,000 budgets.
var customerCounts = []int{7, 69, 690}

// measureChange applies answers, changes one budget and returns the bytes
// written, the bytes that each router reads, the size of the largest value, and
// the number of reads from the store that applying the change takes.
func measureChange(t testing.TB, customers int) (written, read, largest, calls int) {
	service := keyvalue.New(keyvalue.Settings{})
	client := service.Client()
	p := publication.New(client, publication.Settings{})
	a := newAnswers(customers, 232)
	apply(t, p, "first", a)
	before, err := p.InForce(t.Context())
	require.NoError(t, err)
	a.Revision, a.Customers[customers/2].Budgets[100].Prepaid = 1, 77
	counts := service.Counts()
	written = apply(t, p, "second", a).BytesWritten
	calls = int(service.Counts().Reads - counts.Reads)
	after, err := p.InForce(t.Context())
	require.NoError(t, err)
	held := make(map[manifest.Digest]bool)
	for _, d := range before.Head.List().Digests() {
		held[d] = true
	}
	entry, err := client.Get(t.Context(), manifest.HeadKey)
	require.NoError(t, err)
	read = len(entry.Value)
	for _, d := range after.Head.List().Digests() {
		if !held[d] {
			part, err := client.Get(t.Context(), d.Key())
			require.NoError(t, err)
			read += len(part.Value)
		}
	}
	entries, _, err := client.List(t.Context(), "config/")
	require.NoError(t, err)
	for _, e := range entries {
		largest = max(largest, len(e.Value))
	}
	return written, read, largest, calls
}

// TestBytesPerChangeGrowWithTheSquareRoot checks that with ten times the number
// of budgets, a router reads less than five times the bytes per change, and that
// all values stay below a quarter of the size limit.
func TestBytesPerChangeGrowWithTheSquareRoot(t *testing.T) {
	_, small, _, _ := measureChange(t, customerCounts[0])
	_, large, largest, _ := measureChange(t, customerCounts[1])
	assert.Less(t, float64(large)/float64(small), 5.0)
	assert.Less(t, largest, store.MaxValueSize/4)
}

// TestPartsOfLargeCustomerStaySmall checks that the answers of one customer with
// 20,000 budgets are split into parts below a quarter of the size limit.
func TestPartsOfLargeCustomerStaySmall(t *testing.T) {
	split, err := manifest.SplitAnswers(newAnswers(1, 20000), manifest.LayoutFor(20000, 0))
	require.NoError(t, err)
	largest := 0
	for _, part := range split.Parts {
		largest = max(largest, len(part))
	}
	assert.Less(t, largest, store.MaxValueSize/4)
}

// BenchmarkChange reports the reads, the bytes written and the bytes read per VM
// for a change of one budget, and the size of the largest value.
func BenchmarkChange(b *testing.B) {
	for _, customers := range customerCounts {
		b.Run(fmt.Sprintf("budgets=%d", customers*232), func(b *testing.B) {
			for b.Loop() {
				written, read, largest, calls := measureChange(b, customers)
				b.ReportMetric(float64(calls), "store-reads/change")
				b.ReportMetric(float64(written), "written-B/change")
				b.ReportMetric(float64(read), "read-B/VM/change")
				b.ReportMetric(float64(largest), "largest-B")
			}
		})
	}
}
