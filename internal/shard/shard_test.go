package shard

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"
)

func TestMapConcurrent(t *testing.T) {
	const writers, keys = 8, 500
	m := NewMap[string, int]()
	var g errgroup.Group
	for range writers {
		g.Go(func() error {
			for i := range keys {
				key := fmt.Sprint(i)
				m.Do(key, func(entries map[string]int) { entries[key]++ })
			}
			return nil
		})
	}
	assert.NoError(t, g.Wait())
	assert.Equal(t, keys, m.Len())
	m.Each(func(key string, n int) { assert.Equal(t, writers, n, key) })

	m.Delete("7")
	_, ok := m.Get("7")
	assert.False(t, ok)
}
