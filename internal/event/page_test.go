package event

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const page = "../../docs/EVENTS.md"

var update = flag.Bool("update", false, "write docs/EVENTS.md anew")

const heading = `# Events

Each log line about a decision or a change carries the number (field ` + "`event`" + `) and the
name of an event. Numbers are stable. Each hundred is an area: 100 callers and
peers, 200 budgets and claims, 300 routing and upstreams, 400 configuration,
500 membership, 600 orders to engines, 700 answers and operators' commands, 800
key-value service.

This page is written by ` + "`go test ./internal/event -run TestPageListsTheCatalogue -update`" + `.

| number | name | meaning |
|---|---|---|
`

func catalogueTable() string {
	var b strings.Builder
	b.WriteString(heading)
	for _, e := range Catalogue() {
		meaning := strings.ReplaceAll(strings.Join(strings.Fields(e.Meaning), " "), "|", `\|`)
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Number, e.Name, meaning)
	}
	return b.String()
}

// TestPageListsTheCatalogue compares docs/EVENTS.md with the catalogue. With
// -update it writes the page.
func TestPageListsTheCatalogue(t *testing.T) {
	want := catalogueTable()
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(want), 0o644))
	}
	have, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, want, string(have), "run go test ./internal/event -run TestPageListsTheCatalogue -update")
}
