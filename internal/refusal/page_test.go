package refusal

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var codeTableRow = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (\\d{3}) \\| (yes|no|either) \\| .+ \\|$")

// TestPageListsTheCodes compares the table of codes in docs/API.md with Codes.
func TestPageListsTheCodes(t *testing.T) {
	text, err := os.ReadFile("../../docs/API.md")
	require.NoError(t, err)
	listed := make(map[Code]int)
	for _, m := range codeTableRow.FindAllStringSubmatch(string(text), -1) {
		status, err := strconv.Atoi(m[2])
		require.NoError(t, err)
		assert.NotContains(t, listed, Code(m[1]), "listed twice")
		listed[Code(m[1])] = status
	}
	assert.Equal(t, Codes(), listed)
}
