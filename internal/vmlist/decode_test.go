package vmlist

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func FuzzDecode(f *testing.F) {
	f.Add(`[{"id":"a","address":"127.0.0.1:1","failureDomain":"d","region":"r","state":"live"}]`)
	f.Fuzz(func(t *testing.T, body string) {
		vms, err := decode(strings.NewReader(body))
		if err != nil {
			return
		}
		for _, vm := range vms {
			assert.NoError(t, vm.validate())
		}
	})
}
