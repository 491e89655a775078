package document_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/document"
	"example.org/lagoonfork/internal/settings"
	"example.org/lagoonfork/pkg/answers"
)

// row returns the beginning of a field's line on the reference page. The last
// column, the meaning, is written by hand and not compared.
func row(f document.Field) string {
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | ", f.Path, f.Type, f.Unit, f.Bounds, f.Default)
}

// TestReferencePageListsEveryField checks that each section of
// docs/CONFIGURATION.md has exactly one line for each field of its type.
func TestReferencePageListsEveryField(t *testing.T) {
	data, err := os.ReadFile("../../docs/CONFIGURATION.md")
	require.NoError(t, err)
	sections := make(map[string][]string)
	title := ""
	for _, line := range strings.Split(string(data), "\n") {
		if name, ok := strings.CutPrefix(line, "## "); ok {
			title = name
		}
		if strings.HasPrefix(line, "| `") {
			sections[title] = append(sections[title], line)
		}
	}
	for title, value := range map[string]any{
		"Answers": answers.Answers{}, "Router settings": settings.Settings{}, "Operator settings": settings.Operator{},
		"Edge settings": settings.Edge{},
	} {
		lines := sections[title]
		for _, f := range document.Fields(value) {
			want := row(f)
			found := 0
			for _, line := range lines {
				if strings.HasPrefix(line, want) && len(line) > len(want)+len(" |") {
					found++
				}
			}
			assert.Equal(t, 1, found, "%s: want one line that begins with\n%s", title, want)
		}
		assert.Len(t, lines, len(document.Fields(value)), "%s lists fields that do not exist", title)
	}
}
