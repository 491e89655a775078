package plainclient

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBodyBetweenReleases guards against a body that routers of an earlier release, where it was one
// slice of bytes, cannot read, or whose form is not read by this one.
func TestBodyBetweenReleases(t *testing.T) {
	for _, body := range []Body{{}, {[]byte("one")}, {[]byte("one"), nil, []byte("two\xff")}} {
		sent, err := json.Marshal(Response{Body: body})
		require.NoError(t, err)
		var earlier struct{ Body []byte }
		require.NoError(t, json.Unmarshal(sent, &earlier))
		assert.Equal(t, string(body.Bytes()), string(earlier.Body))
		sent, err = json.Marshal(earlier)
		require.NoError(t, err)
		var received Response
		require.NoError(t, json.Unmarshal(sent, &received))
		assert.Equal(t, string(body.Bytes()), string(received.Body.Bytes()))
	}
	var none Response
	require.NoError(t, json.Unmarshal([]byte(`{"Body":null}`), &none))
	assert.Zero(t, none.Body.Len())
}
