package configwatch

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/manifest"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// BenchmarkInstall measures the installation of a change of one budget in a
// watcher that holds 1,600, 16,000 or 160,000 budgets, with one application per
// ten budgets. It also reports the memory that the first revision takes.
func BenchmarkInstall(b *testing.B) {
	for _, budgets := range []int{1600, 16000, 160000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			heads, parts := twoRevisions(b, budgets)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			w := &Watcher{settings: Settings{Peers: partsPeer(parts)}.withDefaults(), changed: make(chan struct{})}
			w.current.Store(&snapshot{})
			require.NoError(b, w.Offer(b.Context(), "library", heads[0]))
			runtime.GC()
			runtime.ReadMemStats(&after)
			first := w.current.Load()
			for b.Loop() {
				w.current.Store(first)
				require.NoError(b, w.Offer(b.Context(), "library", heads[1]))
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e6, "held-MB")
		})
	}
}

// BenchmarkIndex measures the lookup of an application by its key and of its
// budget.
func BenchmarkIndex(b *testing.B) {
	for _, budgets := range []int{1600, 16000, 160000} {
		b.Run(fmt.Sprint(budgets), func(b *testing.B) {
			heads, parts := twoRevisions(b, budgets)
			c, err := manifest.AssembleConfiguration(heads[0], manifest.Parts(parts))
			require.NoError(b, err)
			x := configuration.NewIndex(&c)
			hash := answers.HashKey("c0-a0")
			b.ReportAllocs()
			for b.Loop() {
				app, _, ok := x.ApplicationByKey(hash)
				_, found := x.Budget(app.Budget)
				if !ok || !found {
					b.Fatal("not found")
				}
			}
		})
	}
}

// partsPeer is an implementation of Peers that serves parts from memory and no
// manifests.
type partsPeer manifest.Parts

func (p partsPeer) ConfigurationHead(context.Context, ident.VM, configuration.Revision) (manifest.Manifest, error) {
	return manifest.Manifest{}, errPartitioned
}

func (p partsPeer) ConfigurationPart(_ context.Context, _ ident.VM, digest manifest.Digest) ([]byte, error) {
	return p[digest], nil
}

// twoRevisions returns the manifests of two revisions that differ in one budget,
// and their parts.
func twoRevisions(b testing.TB, budgets int) (heads []manifest.Manifest, parts partsPeer) {
	const perCustomer = 232
	var c configuration.Configuration
	for i := range budgets {
		id := ident.Customer(fmt.Sprintf("c%d", i/perCustomer))
		if i%perCustomer == 0 {
			c.Customers = append(c.Customers, configuration.Customer{ID: id, Name: "C", Weight: 1})
		}
		budget := configuration.Budget{ID: ident.Budget(fmt.Sprintf("%s-b%03d", id, i%perCustomer)), Customer: id, Prepaid: 1000, Funded: 1}
		c.Budgets = append(c.Budgets, budget)
		if i%10 == 0 {
			customer := &c.Customers[len(c.Customers)-1]
			name := fmt.Sprintf("%s-a%d", id, i%perCustomer)
			customer.Applications = append(customer.Applications, configuration.Application{
				ID: ident.Application(name), KeyHash: answers.HashKey(answers.Secret(name)), Budget: budget.ID,
				Services: []ident.Service{"s"}, MaxOutput: 4096})
		}
	}
	parts = make(partsPeer)
	for i := range 2 {
		c.Revision = configuration.Revision(i + 1)
		c.Budgets[budgets/2].Prepaid++
		split, err := manifest.SplitConfiguration(c, manifest.LayoutFor(budgets, 0))
		require.NoError(b, err)
		heads = append(heads, manifest.Manifest{Revision: c.Revision, Base: split.List.Base, Buckets: split.List.Buckets})
		for digest, data := range split.Parts {
			parts[digest] = data
		}
	}
	return heads, parts
}
