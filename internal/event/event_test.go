package event

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCatalogueNumbersAreUnique(t *testing.T) {
	numbers := make(map[int]string)
	names := make(map[string]int)
	for _, e := range Catalogue() {
		assert.Empty(t, numbers[e.Number], "number %d", e.Number)
		assert.Zero(t, names[e.Name], "name %q", e.Name)
		assert.NotEmpty(t, e.Meaning, "meaning of %d", e.Number)
		numbers[e.Number] = e.Name
		names[e.Name] = e.Number
	}
}
