package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/lagoonfork/pkg/store"
)

const key = "k"

func version(r store.Revision, value []byte) store.Entry {
	return store.Entry{Key: key, Value: value, Revision: r}
}

// newTable returns a table of n rows with random names.
func newTable(seed uint64, n int) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"%08x.example","prefix":"/%08x/","kind":"stream","timeoutMs":4000},`,
			random.Uint32(), random.Uint32(), random.Uint32())
	}
	return b.Bytes()
}

func TestDeltaOfSmallChangeIsSmall(t *testing.T) {
	for _, rows := range []int{100, 2000, 10000} {
		before := newTable(1, rows)
		for name, after := range map[string][]byte{
			"row added at the end":       append(bytes.Clone(before), newTable(2, 1)...),
			"row added at the beginning": append(newTable(2, 1), before...),
			"row in the middle removed":  append(bytes.Clone(before[:len(before)/2]), before[len(before)/2+80:]...),
			"part in the middle changed": append(append(bytes.Clone(before[:len(before)/2]), newTable(2, 1)[:40]...), before[len(before)/2+40:]...),
		} {
			t.Run(fmt.Sprintf("%d rows, %s", rows, name), func(t *testing.T) {
				d, err := New(version(7, before), version(9, after))
				require.NoError(t, err)
				assert.Less(t, len(d.Frame), 2048)
				got, err := d.Apply(version(7, before))
				require.NoError(t, err)
				assert.Equal(t, version(9, after), got)
			})
		}
	}
}

func TestDeltaFromNothingIsCompressed(t *testing.T) {
	value := newTable(1, 2000)
	d, err := New(store.Entry{}, version(9, value))
	require.NoError(t, err)
	assert.Less(t, len(d.Frame), len(value)/2)
	got, err := d.Apply(store.Entry{Key: key})
	require.NoError(t, err)
	assert.Equal(t, version(9, value), got)
}

func TestDeltaOfAnotherValueFails(t *testing.T) {
	before, after := newTable(1, 1000), append(newTable(1, 1000), newTable(2, 1)...)
	d, err := New(version(7, before), version(9, after))
	require.NoError(t, err)
	_, err = d.Apply(version(7, newTable(3, 1000)))
	assert.Error(t, err, "another value")
	_, err = d.Apply(store.Entry{Key: key})
	assert.Error(t, err, "no value")
	_, err = d.Apply(version(8, before))
	assert.EqualError(t, err, "applying a delta of k: from: revision 7, but revision 8 is held")
	for _, frame := range [][]byte{nil, []byte("no frame"), d.Frame[:len(d.Frame)/2]} {
		_, err = Delta{From: 7, To: 9, Frame: frame}.Apply(version(7, before))
		assert.Error(t, err, "%d bytes", len(frame))
	}
}

func TestDeltasAreInverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(rapid.Byte(), 0, 1000).Draw(t, "before")
		after := append(bytes.Clone(before[:rapid.IntRange(0, len(before)).Draw(t, "kept")]), rapid.SliceOfN(rapid.Byte(), 0, 1000).Draw(t, "added")...)
		d, err := New(version(1, before), version(2, after))
		require.NoError(t, err)
		got, err := d.Apply(version(1, before))
		require.NoError(t, err)
		assert.Equal(t, string(after), string(got.Value))
	})
}

func FuzzApply(f *testing.F) {
	before := newTable(1, 20)
	d, err := New(version(1, before), version(2, newTable(2, 20)))
	require.NoError(f, err)
	f.Add(d.Frame)
	f.Fuzz(func(t *testing.T, frame []byte) {
		after, err := Delta{From: 1, To: 2, Frame: frame}.Apply(version(1, before))
		if err == nil {
			assert.LessOrEqual(t, len(after.Value), maxValueSize)
		}
	})
}

func BenchmarkNew(b *testing.B) {
	before := version(1, newTable(1, 2000))
	after := version(2, append(newTable(1, 2000), newTable(2, 1)...))
	for b.Loop() {
		_, _ = New(before, after)
	}
}

func BenchmarkApply(b *testing.B) {
	before := version(1, newTable(1, 2000))
	d, _ := New(before, version(2, append(newTable(1, 2000), newTable(2, 1)...)))
	for b.Loop() {
		_, _ = d.Apply(before)
	}
}

func BenchmarkCompress(b *testing.B) {
	value := version(1, newTable(1, 2000))
	for b.Loop() {
		_, _ = New(store.Entry{}, value)
	}
}
