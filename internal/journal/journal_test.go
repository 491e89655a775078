package journal

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/pkg/ident"
)

func TestJournalKeepsTheLatest(t *testing.T) {
	const limit = 160
	j := New(limit)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	j.Record(now, "first", "route", "u1")
	j.Record(now.Add(time.Second), "first", "settle", "12 tokens")
	assert.Equal(t, []Entry{
		{At: now, Kind: "route", Detail: "u1"},
		{At: now.Add(time.Second), Kind: "settle", Detail: "12 tokens"},
	}, j.Find("first"))
	for i := range 100 * limit {
		j.Record(now, ident.Request(fmt.Sprint(i)), "route", "u1")
	}
	assert.Empty(t, j.Find("first"))
	assert.Len(t, j.Find(ident.Request(fmt.Sprint(100*limit-1))), 1)
}
