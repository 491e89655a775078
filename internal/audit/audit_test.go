package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/internal/ledger"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

func page(settled tokens.Count, costs map[ident.Request]tokens.Count) *ledger.Page {
	b := &ledger.Budget{Funding: ledger.Funding{Prepaid: 100}, Settled: settled, Claims: map[ident.Request]*ledger.Claim{}}
	for id, cost := range costs {
		b.Claims[id] = &ledger.Claim{Request: id, State: ledger.StateSettled, Cost: cost, Ended: time.Unix(0, 0)}
	}
	return &ledger.Page{Budgets: map[ident.Budget]*ledger.Budget{"b": b}}
}

func TestCheckFindsEachViolation(t *testing.T) {
	answered := []Answered{{Budget: "b", Request: "r1"}}
	tests := []struct {
		name  string
		pages []*ledger.Page
		want  Report
	}{
		{"sound", []*ledger.Page{page(10, map[ident.Request]tokens.Count{"r1": 10})},
			Report{Requests: 2, Billed: 1}},
		{"unbilled", []*ledger.Page{page(0, nil)},
			Report{Requests: 2, Unbilled: 1}},
		{"charged twice", []*ledger.Page{page(20, map[ident.Request]tokens.Count{"r1": 10})},
			Report{Requests: 2, Billed: 1, BilledTwice: 1}},
		{"overspent", []*ledger.Page{page(130, map[ident.Request]tokens.Count{"r1": 130})},
			Report{Requests: 2, Billed: 1, OverspentTokens: 30}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Check(tt.pages, answered, []Refused{{Budget: "b", MaxCost: 101}})
			assert.Equal(t, tt.want, got)
			assert.Equal(t, tt.name == "sound", got.Clean())
		})
	}
	refusal := Check([]*ledger.Page{page(0, nil)}, nil, []Refused{{Budget: "b", MaxCost: 50}})
	assert.Equal(t, 1, refusal.FalseRefusals)
}
