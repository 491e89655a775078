package main

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMemoryOfAContainer guards against limits that follow from the memory of the machine where a
// container permits less.
func TestMemoryOfAContainer(t *testing.T) {
	const containerMemory = 64 << 20
	machine, err := systemMemory(fstest.MapFS{})
	require.NoError(t, err)
	assert.Greater(t, machine, int64(containerMemory))
	for value, want := range map[string]int64{"67108864": containerMemory, "max": machine, "9223372036854771712": machine} {
		memory, err := systemMemory(fstest.MapFS{
			"proc/self/cgroup":         {Data: []byte("0::/\n")},
			"sys/fs/cgroup/memory.max": {Data: []byte(value + "\n")},
		})
		require.NoError(t, err)
		assert.Equal(t, want, memory, value)
	}
}
