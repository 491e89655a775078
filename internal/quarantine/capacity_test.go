package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkReading decodes a list of n digests of requests that ran during a crash, as each
// router does at each read, and reports the size of the list.
func BenchmarkReading(b *testing.B) {
	for _, n := range []int{20, 200, maxRecords} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var list List
			now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
			for i := range n {
				list.Apply(now, []Change{{At: now, Digest: DigestOf("customer", "llm", fmt.Append(nil, i)), Upstream: ident.Upstream("llm-0001"), Customer: "customer"}})
			}
			data, err := list.Encode()
			require.NoError(b, err)
			for b.Loop() {
				_, err := Decode(data)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
