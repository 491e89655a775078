package membership

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/vmlist"
)

// BenchmarkListing decodes the records of n VMs and applies them to a view, as each
// listing of the key-value service does. It reports the size of the records.
func BenchmarkListing(b *testing.B) {
	for _, n := range []int{9, 90, 390} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var values [][]byte
			size := 0
			for _, r := range records(n) {
				value, err := r.Encode()
				require.NoError(b, err)
				values = append(values, value)
				size += len(Key(r.VM)) + len(value)
			}
			v := NewView(Settings{Self: record(0)})
			for b.Loop() {
				listed := make([]Record, len(values))
				for i, value := range values {
					r, err := Decode(Key(record(i).VM), value)
					require.NoError(b, err)
					listed[i] = r
				}
				v.ApplyListing(start, start, listed)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkPlatformList decodes the platform's list of n VMs and applies it to a
// view. It reports the size of the list.
func BenchmarkPlatformList(b *testing.B) {
	for _, n := range []int{15, 149, 1490} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var vms []vmlist.VM
			for _, r := range records(n) {
				vms = append(vms, listedAs(r, vmlist.StateLive))
			}
			data, err := json.Marshal(vms)
			require.NoError(b, err)
			v := fleet(min(n, 390))
			for b.Loop() {
				var read []vmlist.VM
				require.NoError(b, json.Unmarshal(data, &read))
				v.ApplyVMList(start, read)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
