package generator_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/generator"
	"example.org/lagoonfork/pkg/answers"
	"example.org/lagoonfork/pkg/configuration"
	"example.org/lagoonfork/pkg/ident"
)

// readExample decodes the answers in a file of the examples.
func readExample(t testing.TB, name string) answers.Answers {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name + ".json")
	require.NoError(t, err)
	a, err := answers.Decode(data)
	require.NoError(t, err)
	return a
}

// TestGenerateExamples checks that the result does not depend on the order of
// customers and rules, and the size of each example.
func TestGenerateExamples(t *testing.T) {
	for _, name := range []string{"urad", "jegvirag"} {
		t.Run(name, func(t *testing.T) {
			a := readExample(t, name)
			first, err := generator.Generate(a, 3, nil)
			require.NoError(t, err)
			rand.Shuffle(len(a.Customers), func(i, j int) { a.Customers[i], a.Customers[j] = a.Customers[j], a.Customers[i] })
			rand.Shuffle(len(a.Rules), func(i, j int) { a.Rules[i], a.Rules[j] = a.Rules[j], a.Rules[i] })
			second, err := generator.Generate(a, 3, nil)
			require.NoError(t, err)
			one, err := json.Marshal(first)
			require.NoError(t, err)
			two, err := json.Marshal(second)
			require.NoError(t, err)
			assert.Equal(t, string(one), string(two))

			var upstreams []int
			domains := make(map[ident.FailureDomain]bool)
			for _, s := range first.Services {
				upstreams = append(upstreams, len(s.Upstreams))
				for _, u := range s.Upstreams {
					domains[u.FailureDomain] = true
				}
			}
			assert.ElementsMatch(t, []int{20, 3}, upstreams)
			assert.Len(t, domains, 3)
			assert.Len(t, first.Customers, 10)
		})
	}
}

func TestIndexFindsEverything(t *testing.T) {
	c, err := generator.Generate(readExample(t, "urad"), 1, nil)
	require.NoError(t, err)
	x := configuration.NewIndex(&c)
	app, customer, ok := x.ApplicationByKey(answers.HashKey("sample-key-farnost-trnava-ask-not-for-use"))
	require.True(t, ok)
	assert.Equal(t, ident.Customer("farnost-trnava"), customer.ID)
	assert.Equal(t, []ident.Service{"orloj-llm"}, app.Services)
	permits, _, ok := x.ApplicationByKey(answers.HashKey("sample-key-urad-licensing-permits-not-for-use"))
	require.True(t, ok)
	assert.Equal(t, []ident.Service{"orloj-llm", "register-app"}, permits.Services)
	for _, b := range c.Budgets {
		found, ok := x.Budget(b.ID)
		require.True(t, ok)
		assert.Equal(t, b, *found)
	}
	model, service, ok := x.Model("orloj-small")
	require.True(t, ok)
	assert.Equal(t, ident.Model("orloj-small"), model.ID)
	assert.Equal(t, ident.Service("orloj-llm"), service.ID)
	_, ok = x.Service("register-app")
	assert.True(t, ok)
	_, _, ok = x.Upstream("register-app-3")
	assert.True(t, ok)
	_, ok = x.Budget("none")
	assert.False(t, ok)
	_, _, ok = x.ApplicationByKey("none")
	assert.False(t, ok)
}

func TestFundedIsTheRevisionOfTheLastChangeOfPrepaid(t *testing.T) {
	a := readExample(t, "urad")
	first, err := generator.Generate(a, 1, nil)
	require.NoError(t, err)
	changed := &a.Customers[0].Budgets[0]
	changed.Prepaid++
	second, err := generator.Generate(a, 2, &first)
	require.NoError(t, err)
	third, err := generator.Generate(a, 3, &second)
	require.NoError(t, err)
	for _, b := range third.Budgets {
		want := configuration.Revision(1)
		if b.ID == changed.ID {
			want = 2
		}
		assert.Equal(t, want, b.Funded, b.ID)
	}
}
