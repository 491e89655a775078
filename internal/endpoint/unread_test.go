package endpoint

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStopServesARequestThatWaitsInTheSocket guards against a request that is cut off because it has
// arrived, but has not been read, when idle connections are ended: a VM may lack processor time.
func TestStopServesARequestThatWaitsInTheSocket(t *testing.T) {
	cut := 0
	for range 20 {
		e := listen(t, whole)
		c := dial(t, e)
		c.send(start + rest)
		c.receive()
		time.Sleep(5 * time.Millisecond) // the server waits for the next request
		c.send(start + rest)
		require.NoError(t, e.StopAccepting())
		response, err := http.ReadResponse(c.responses, nil)
		if err != nil {
			cut++
			continue
		}
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	assert.Zero(t, cut)
}
