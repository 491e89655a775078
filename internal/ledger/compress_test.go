package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// newFleetPage returns a page on which each VM has a share of each budget.
func newFleetPage(budgets, vms int) *Page {
	p := new(Page)
	for n := range budgets {
		for v := range vms {
			vm := fmt.Sprintf("front-sk-central-%c-%d", 'a'+v%3, v/3)
			op := drawOp(ident.Incarnation(fmt.Sprintf("%s-%012x", vm, (v+1)*2654435761)), 1, tokens.Count(1000+(n*7919+v*104729)%90000))
			op.Budget = ident.Budget(fmt.Sprintf("budget-%03d", n))
			op.Draw.Funding = Funding{Customer: "customer-0123", Prepaid: 1 << 40, Revision: 7}
			op.Draw.Limit = &SpendLimit{
				VM: ident.VM(vm), Boot: "9cc525b9-4cb1-4a66-860f-ae0d27cdbc14", AsOf: 28866902364336,
				Committed: tokens.Count(v*1013 + n*331), PerSecond: float64(v*917+n*31) / 9.7,
			}
			p.Apply(op, start)
		}
	}
	return p
}

// TestPageOfALargeFleetIsSmall checks the compressed size of a page on which 77
// routers share 24 budgets. A link of 10 Mbit/s must be able to carry the page
// ten times a second with capacity to spare.
func TestPageOfALargeFleetIsSmall(t *testing.T) {
	p := newFleetPage(24, 77)
	data, err := EncodeWrite(p, 3, "write")
	require.NoError(t, err)
	packed, err := Compress(data)
	require.NoError(t, err)
	assert.Less(t, len(packed), 60<<10)
	again, err := Decode(packed)
	require.NoError(t, err)
	for id, b := range p.Budgets {
		assert.Equal(t, b.Shares, again.Budgets[id].Shares)
	}
}

func TestSmallPageIsPlain(t *testing.T) {
	data, err := Encode(newFleetPage(1, 3))
	require.NoError(t, err)
	packed, err := Compress(data)
	require.NoError(t, err)
	assert.Equal(t, data, packed)
}

func TestDecodeRefusesDamagedCompression(t *testing.T) {
	plain, err := Encode(newFleetPage(24, 77))
	require.NoError(t, err)
	data, err := Compress(plain)
	require.NoError(t, err)
	for _, cut := range []int{5, len(data) / 2, len(data) - 1} {
		_, err := Decode(data[:cut])
		assert.ErrorContains(t, err, "decompressing")
	}
}
