package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"example.org/lagoonfork/pkg/ident"
)

func TestRanked(t *testing.T) {
	var all []Record
	for i := range 20 {
		all = append(all, Record{VM: ident.VM(fmt.Sprint("vm-", i)), Capacity: 1 + 7*(i%5/4)})
	}
	first := make(map[ident.VM]bool)
	for duty := range 50 {
		name := fmt.Sprint("duty ", duty)
		ranked := Ranked(name, all)
		assert.Len(t, ranked, len(all))
		for i, r := range ranked {
			assert.Equal(t, i < 4, r.Capacity == 8, "large VMs come first")
		}
		first[ranked[0].VM] = true
		shuffled := append([]Record(nil), all...)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(t, ranked, Ranked(name, shuffled))
		assert.Equal(t, ranked[1:], Ranked(name, ranked[1:]))
	}
	assert.Len(t, first, 4, "duties are spread over the large VMs")
}
