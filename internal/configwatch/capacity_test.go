package configwatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkColdStart starts a whole fleet at once and reports the reads from the
// key-value service and the parts read from peers until the configuration, which
// has 33 parts, is in force on all VMs.
func BenchmarkColdStart(b *testing.B) {
	for _, vms := range []int{9, 90, 390} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(b, vms)
				require.Eventually(b, func() bool { return f.countLagging(1) == 0 }, time.Minute, 20*time.Millisecond)
				b.ReportMetric(float64(f.service.Counts().Reads), "reads")
				b.ReportMetric(float64(f.network.parts.Load()), "parts-from-peers")
				f.close()
			}
		})
	}
}

// BenchmarkParts reports the number and the total size of the parts that a VM
// reads at startup.
func BenchmarkParts(b *testing.B) {
	for _, budgets := range []int{1_600, 16_000, 160_000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			for b.Loop() {
				heads, parts := twoRevisions(b, budgets)
				size := 0
				digests := append(heads[0].Buckets, heads[0].Base)
				for _, digest := range digests {
					size += len(parts[digest])
				}
				b.ReportMetric(float64(len(digests)), "parts")
				b.ReportMetric(float64(size), "bytes")
			}
		})
	}
}
