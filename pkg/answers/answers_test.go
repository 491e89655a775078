package answers_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/pkg/answers"
)

const sample = `{
  "policy": {"preference": "availability"},
  "customers": [
    {"id": "big", "name": "Big", "weight": 3,
     "budgets": [{"id": "b2", "prepaid": 5}, {"id": "b1", "prepaid": 1000}],
     "applications": [{"id": "a1", "key": "sample-key-0123456789", "budget": "b1"}]},
    {"id": "small", "name": "Small", "budgets": [{"id": "b3", "prepaid": 7}]}],
  "services": [
    {"id": "llm", "kind": "engine", "models": [{"id": "m", "version": "1"}],
     "upstreams": [{"id": "u1", "address": "10.0.0.1:80", "failureDomain": "fd1", "region": "r"}]},
    {"id": "desk", "kind": "plain", "calls": [{"method": "POST", "pathPrefix": "/orders"}]}],
  "rules": [{"id": "all", "services": ["llm", "desk"]}]
}`

func decode(t *testing.T, document string) answers.Answers {
	t.Helper()
	a, err := answers.Decode([]byte(document))
	require.NoError(t, err)
	return a
}

func TestDecodeReportsEveryWrongField(t *testing.T) {
	tests := []struct {
		name     string
		old, new string // replaced in the sample
		problems []string
	}{
		{"unknown field", `"weight": 3`, `"wieght": 3`, []string{"customers[0].wieght: is not a known field"}},
		{"duplicate field", `"weight": 3`, `"weight": 3, "weight": 4`, []string{"customers[0].weight: occurs twice"}},
		{"string for number", `"weight": 3`, `"weight": "3"`, []string{"customers[0].weight: is a string, not a number"}},
		{"string for list", `["llm", "desk"]`, `"llm"`, []string{"rules[0].services: is a string, not a list"}},
		{"out of bounds", `"weight": 3`, `"weight": 0`, []string{"customers[0].weight: 0 is below the least, 1"}},
		{"fraction", `"weight": 3`, `"weight": 1.5`, []string{"customers[0].weight: 1.5 is not a whole number of 64 bits"}},
		{"null", `"weight": 3`, `"weight": null`, []string{"customers[0].weight: is null, not a number"}},
		{"missing", `"name": "Big", `, ``, []string{"customers[0].name: is missing"}},
		{"no budget", `"budget": "b1"`, `"budget": "x"`,
			[]string{`customers[0].applications[0].budget: "x" names no budget of customer "big"`}},
		{"budget of another", `"budget": "b1"`, `"budget": "b3"`,
			[]string{`customers[0].applications[0].budget: "b3" names no budget of customer "big"`}},
		{"no key", `"key": "sample-key-0123456789", `, ``, []string{"customers[0].applications[0].keyHash: is missing, and so is key"}},
		{"short key", `sample-key-0123456789`, `short`, []string{"customers[0].applications[0].key: 5 bytes is below the least, 16"}},
		{"budget twice", `"id": "b3"`, `"id": "b1"`, []string{`customers[1].budgets[0].id: "b1" is also at customers[0].budgets[1].id`}},
		{"address", `10.0.0.1:80`, `llm-1:80`, []string{
			`services[0].upstreams[0].address: ParseAddr("llm-1"): unable to parse IP`}},
		{"unspecified address", `10.0.0.1:80`, `0.0.0.0:80`,
			[]string{"services[0].upstreams[0].address: 0.0.0.0:80 is not the address of one process"}},
		{"engine without models", `"models": [{"id": "m", "version": "1"}],`, ``,
			[]string{"services[0].models: is missing: an engine service offers at least one model"}},
		{"rule for nothing", `["llm", "desk"]`, `["llm", "disk"]`, []string{`rules[0].services[1]: "disk" names no service`}},
		{"preference", `"availability"`, `"speed"`, []string{`policy.preference: "speed" is none of caution, availability`}},
		{"horizon", `"preference": "availability"`, `"shareLifetimeSeconds": 30, "refillHorizonSeconds": 40`,
			[]string{"policy.refillHorizonSeconds: 40 is above shareLifetimeSeconds, 30"}},
		{"horizon under caution", `"preference": "availability"`, `"preference": "caution", "refillHorizonSeconds": 100`,
			[]string{"policy.refillHorizonSeconds: 100 is above shareLifetimeSeconds, 90"}},
		{"several", `"weight": 3`, `"weight": -1, "colour": "red"`, []string{
			"customers[0].colour: is not a known field", "customers[0].weight: -1 is below the least, 1"}},
		{"no document", sample, `{"customers":`, []string{"is not JSON: unexpected EOF at byte 13"}},
		{"two documents", sample, sample + "{}", []string{"unexpected data after the document"}},
		{"deep", `"weight": 3`, `"weight": ` + strings.Repeat("[", 40), []string{"is nested more than 32 levels deep"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, sample, test.old)
			_, err := answers.Decode([]byte(strings.Replace(sample, test.old, test.new, 1)))
			var problems answers.Problems
			require.True(t, errors.As(err, &problems), "%v", err)
			got := make([]string, len(problems))
			for i, p := range problems {
				got[i] = p.String()
			}
			for _, want := range test.problems {
				assert.Contains(t, got, want)
			}
			assert.Len(t, got, len(test.problems), "%v", got)
		})
	}
}

func TestPlainKeysAreReplaced(t *testing.T) {
	a := decode(t, sample)
	data, err := answers.Encode(a)
	require.NoError(t, err)
	assert.NotContains(t, string(data), "sample-key")
	assert.Contains(t, string(data), answers.HashKey("sample-key-0123456789"))

	a.Customers[0].Applications[0].Key = "sample-key-0123456789"
	data, err = answers.Encode(a)
	require.NoError(t, err)
	assert.NotContains(t, string(data)+fmt.Sprintf("%v %+v %#v", a, a, a), "sample-key")

	both := strings.Replace(sample, `"key":`, `"keyHash": "`+answers.HashKey("x")+`", "key":`, 1)
	_, err = answers.Decode([]byte(both))
	assert.ErrorContains(t, err, "customers[0].applications[0].key: is set in addition to keyHash")
}

func TestCheckRefusesChangesOfRunningFleet(t *testing.T) {
	previous := decode(t, sample)
	next := decode(t, strings.Replace(sample, `"availability"`, `"caution", "ledgerPages": 2`, 1))
	assert.ErrorContains(t, answers.Check(next, &previous), "policy.ledgerPages: cannot change from 64 once customers exist")

	moved := strings.NewReplacer(`{"id": "b2", "prepaid": 5}, `, ``, `{"id": "b3"`, `{"id": "b2", "prepaid": 5}, {"id": "b3"`).Replace(sample)
	assert.ErrorContains(t, answers.Check(decode(t, moved), &previous), `customers[1].budgets[0].id: "b2" belongs to customer "big"`)
	assert.NoError(t, answers.Check(previous, &previous))

	previous.Services[0].Kind = "engine" // desk
	assert.ErrorContains(t, answers.Check(decode(t, sample), &previous), `services[0].kind: cannot change from "engine"`)
}

func TestDigestIgnoresOrderAndRevision(t *testing.T) {
	a := decode(t, sample)
	b := answers.Canonical(a)
	b.Revision = 9
	b.Customers[0], b.Customers[1] = b.Customers[1], b.Customers[0]
	first, err := answers.Digest(a)
	require.NoError(t, err)
	second, err := answers.Digest(b)
	require.NoError(t, err)
	assert.Equal(t, first, second)
}

func TestMerge(t *testing.T) {
	edit := func(old, new string) answers.Answers { return decode(t, strings.Replace(sample, old, new, 1)) }
	base := edit("", "")
	tests := []struct {
		name         string
		theirs, mine answers.Answers
		conflicts    []string
	}{
		{"apart", edit(`"weight": 3`, `"weight": 4`), edit(`"prepaid": 7`, `"prepaid": 8`), nil},
		{"same change", edit(`"weight": 3`, `"weight": 4`), edit(`"weight": 3`, `"weight": 4`), nil},
		{"same field", edit(`"weight": 3`, `"weight": 4`), edit(`"weight": 3`, `"weight": 5`), []string{"customers[big].weight"}},
		{"two new budgets", edit(`{"id": "b3"`, `{"id": "b4", "prepaid": 1}, {"id": "b3"`),
			edit(`{"id": "b3"`, `{"id": "b5", "prepaid": 1}, {"id": "b3"`), nil},
		{"removed and changed", edit(`{"id": "b2", "prepaid": 5}, `, ``), edit(`"prepaid": 5`, `"prepaid": 6`),
			[]string{"customers[big].budgets[b2]"}},
		{"all removed, one added", edit(`, "budgets": [{"id": "b3", "prepaid": 7}]`, ``),
			edit(`{"id": "b3"`, `{"id": "b5", "prepaid": 1}, {"id": "b3"`), nil},
		{"list of identifiers", edit(`["llm", "desk"]`, `["llm"]`), edit(`["llm", "desk"]`, `["desk"]`), []string{"rules[all].services"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			comparison := answers.Compare(base, test.theirs, test.mine)
			assert.Equal(t, test.conflicts, comparison.Conflicts)
			test.theirs.Revision = 5
			merged, err := answers.Merge(base, test.theirs, test.mine)
			if len(test.conflicts) > 0 {
				assert.ErrorContains(t, err, test.conflicts[0])
				return
			}
			require.NoError(t, err)
			assert.EqualValues(t, 5, merged.Revision)
			both := answers.Compare(base, test.theirs, merged)
			assert.Empty(t, both.Conflicts)
			for _, change := range comparison.Mine {
				assert.NotContains(t, answers.Difference(merged, test.mine), change)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"policy":{},"customers":[{"id":"a","name":"\ud800","budgets":[]}],"rules":null}`))
	for _, path := range []string{"../../examples/urad.json", "../../examples/jegvirag.json"} {
		data, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := answers.Decode(data)
		if err != nil {
			return
		}
		require.True(t, json.Valid(data))
		first, err := answers.Encode(a)
		require.NoError(t, err)
		again, err := answers.Decode(first)
		require.NoError(t, err)
		require.Equal(t, a, again)
		second, err := answers.Encode(again)
		require.NoError(t, err)
		require.Equal(t, string(first), string(second))
	})
}
