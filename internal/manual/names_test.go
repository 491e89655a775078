package manual

import (
	"expvar"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/metrics"
)

var peerPath = regexp.MustCompile(`"(/peer/v1/[^"]*)"`)

// TestPeerPathsAreListed checks that docs/API.md documents the path of each call
// between routers.
func TestPeerPathsAreListed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/API.md"))
	require.NoError(t, err)
	source, err := os.ReadFile(filepath.Join(root, "internal/peerclient/peerclient.go"))
	require.NoError(t, err)
	paths := peerPath.FindAllStringSubmatch(string(source), -1)
	assert.NotEmpty(t, paths)
	for _, m := range paths {
		listed := regexp.MustCompile("`(GET|POST) " + regexp.QuoteMeta(m[1]) + "[`?A-Z]")
		assert.True(t, listed.Match(page), "docs/API.md lacks %s", m[1])
	}
}

// TestMetricsAreListed checks that docs/OPERATIONS.md documents each predefined
// metric and those that compose.go adds.
func TestMetricsAreListed(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	require.NoError(t, err)
	source, err := os.ReadFile(filepath.Join(root, "internal/router/compose.go"))
	require.NoError(t, err)
	var names []string
	metrics.New().Map().Do(func(v expvar.KeyValue) { names = append(names, v.Key) })
	for _, m := range regexp.MustCompile(`metrics\.(?:Gauge|Add)\("(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		names = append(names, m[1])
	}
	assert.Greater(t, len(names), 10)
	for _, name := range names {
		assert.True(t, strings.Contains(string(page), "`"+name+"`"), "docs/OPERATIONS.md lacks %s", name)
	}
}
