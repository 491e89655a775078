package weightstore

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRateIsLimited(t *testing.T) {
	s := New(Settings{Rate: 1e-9, Burst: 2, Size: 10})
	defer func() { assert.NoError(t, s.Close()) }()
	var statuses []int
	for range 3 {
		response, err := http.Get("http://" + s.Address().String() + "/weights/m/1")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		statuses = append(statuses, response.StatusCode)
	}
	assert.Equal(t, []int{200, 200, 429}, statuses)
	assert.EqualValues(t, 2, s.Served())
	assert.EqualValues(t, 1, s.Refused())
}
