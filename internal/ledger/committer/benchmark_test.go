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

// toOwner forwards ops to the owner of all pages.
type toOwner struct{ owner *Committer }

func (f toOwner) Apply(ctx context.Context, page int, ops []ledger.Op) ([]ledger.Result, error) {
	return f.owner.ApplyLocal(ctx, page, ops)
}

// BenchmarkGroupCommit measures ops per write of the key-value service, which
// answers in a millisecond. Each writer is a committer on which eight requests
// open and release a claim at a time, all on one page.
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
	owner := open(service.Client(), 1)
	var cs []*Committer
	for range writers {
		c := open(service.Client(), 1)
		if owned {
			c.settings.Forward = toOwner{owner}
		}
		cs = append(cs, c)
	}
	ctx := context.Background()
	for w, c := range cs {
		op := draw(holderName(w), 1, 1<<30)
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
					_, err := c.Apply(ctx, opening(claim(id, holderName(w), 0)))
					require.NoError(b, err)
					_, err = c.Apply(ctx, releasing(id, holderName(w)))
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
