package committer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/fake/keyvalue"
	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
)

// ownerForwarder forwards all ops to one committer.
type ownerForwarder struct{ owner *Committer }

func (f ownerForwarder) Apply(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error) {
	return f.owner.ApplyLocal(ctx, page, ops)
}

// BenchmarkGroupCommit measures ops per write of a key-value service with a
// delay of one millisecond. Each writer is a committer on which eight goroutines
// repeatedly open and release a claim, all on one page.
func BenchmarkGroupCommit(b *testing.B) {
	for _, owned := range []bool{false, true} {
		for _, writers := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("owner=%t/writers=%d", owned, writers), func(b *testing.B) {
				benchmarkGroupCommit(b, owned, writers)
			})
		}
	}
}

func benchmarkGroupCommit(b *testing.B, owned bool, writers int) {
	const requests = 8
	service := keyvalue.New(keyvalue.Settings{})
	service.SetFaults(keyvalue.Faults{Delay: time.Millisecond})
	owner := newTestCommitter(service.Client(), 1)
	var cs []*Committer
	for range writers {
		c := newTestCommitter(service.Client(), 1)
		if owned {
			c.settings.Forwarder = ownerForwarder{owner}
		}
		cs = append(cs, c)
	}
	ctx := context.Background()
	for w, c := range cs {
		op := drawOp(holderName(w), 1, 1<<30)
		op.Draw.Funding.Prepaid = 1 << 40
		_, err := c.Apply(ctx, op)
		require.NoError(b, err)
	}
	before := service.Counts()
	b.ResetTimer()
	var wg sync.WaitGroup
	for w, c := range cs {
		for r := range requests {
			wg.Go(func() {
				id := ident.Request(fmt.Sprintf("%d-%d", w, r))
				for range b.N {
					_, err := c.Apply(ctx, openOp(claim(id, holderName(w), 0)))
					require.NoError(b, err)
					_, err = c.Apply(ctx, releaseOp(id, holderName(w)))
					require.NoError(b, err)
				}
			})
		}
	}
	wg.Wait()
	b.StopTimer()
	after := service.Counts()
	ops := float64(2 * b.N * writers * requests)
	b.ReportMetric(ops/float64(after.Writes-before.Writes), "ops/write")
	b.ReportMetric(float64(after.Reads-before.Reads)/ops, "reads/op")
	closeAll(b, append(cs, owner)...)
}
