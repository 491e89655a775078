package controlgroup

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMemory guards against a limit of a container that is not seen, and against one that is seen where
// there is none.
func TestMemory(t *testing.T) {
	const v1Unlimited = "9223372036854771712\n"
	for name, c := range map[string]struct {
		files map[string]string
		limit int64 // 0 if there is none
	}{
		"no control groups": {nil, 0},
		"version 2, container": {map[string]string{
			"proc/self/cgroup": "0::/\n", "sys/fs/cgroup/memory.max": "67108864\n",
		}, 67108864},
		"version 2, no limit": {map[string]string{
			"proc/self/cgroup": "0::/a\n", "sys/fs/cgroup/a/memory.max": "max\n",
		}, 0},
		"version 2, limit above the group": {map[string]string{
			"proc/self/cgroup": "0::/a/b/c\n", "sys/fs/cgroup/a/b/c/memory.max": "max\n", "sys/fs/cgroup/a/b/memory.max": "300\n", "sys/fs/cgroup/a/memory.max": "400\n",
		}, 300},
		"version 2, group not in the container": {map[string]string{
			"proc/self/cgroup": "0::/../other\n", "sys/fs/cgroup/memory.max": "500\n",
		}, 500},
		"version 1": {map[string]string{
			"proc/self/cgroup": "5:cpu,cpuacct:/a\n4:memory:/a\n1:name=systemd:/a\n",
			"sys/fs/cgroup/memory/a/memory.limit_in_bytes": "600\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": v1Unlimited,
		}, 600},
		"version 1, mounted for the container": {map[string]string{
			"proc/self/cgroup": "4:hugetlb,memory:/docker/x\n", "sys/fs/cgroup/memory/memory.limit_in_bytes": "700\n",
		}, 700},
		"both versions": {map[string]string{
			"proc/self/cgroup": "4:memory:/a\n0::/a\n", "sys/fs/cgroup/unified/a/cgroup.procs": "", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "800\n",
		}, 800},
		"another controller": {map[string]string{
			"proc/self/cgroup": "4:cpu:/a\nx\n", "sys/fs/cgroup/memory/a/memory.limit_in_bytes": "900\n",
		}, 0},
	} {
		files := fstest.MapFS{}
		for file, content := range c.files {
			files[file] = &fstest.MapFile{Data: []byte(content)}
		}
		limit, ok, err := Of(files).Memory()
		require.NoError(t, err, name)
		assert.Equal(t, c.limit, limit, name)
		assert.Equal(t, c.limit > 0, ok, name)
	}
}

// TestMalformedLimit guards against a limit that is ignored because it cannot be read.
func TestMalformedLimit(t *testing.T) {
	_, _, err := Of(fstest.MapFS{
		membershipFile:             {Data: []byte("0::/a\n")},
		"sys/fs/cgroup/memory.max": {Data: []byte("64M\n")},
	}).Memory()
	assert.ErrorContains(t, err, "sys/fs/cgroup/memory.max")
}
