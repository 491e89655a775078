package manifest

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1,"applyID":"a","base":"d","buckets":["e"]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := m.Encode()
		require.NoError(t, err)
		again, err := Decode(encoded)
		require.NoError(t, err)
		assert.Equal(t, m, again)
	})
}
