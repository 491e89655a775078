package metrics

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/refusal"
)

func TestMap(t *testing.T) {
	m := New()
	m.Served(25)
	m.Refused(refusal.Overloaded)
	m.Attempt(false)
	m.Attempt(true)
	m.Gauge("livePeers", func() any { return 8 })
	var got map[string]any
	require.NoError(t, json.Unmarshal([]byte(m.Map().String()), &got))
	assert.Equal(t, map[string]any{
		"requestsServed": 1.0, "tokensBilled": 25.0, "requestsRefused": 1.0,
		"refusedByCode": map[string]any{"overloaded": 1.0},
		"attempts":      2.0, "retries": 1.0, "upstreamCrashes": 0.0, "billsHeldByPeers": 0.0,
		"billsRejected": 0.0, "requestsTakenOver": 0.0, "livePeers": 8.0,
	}, got)
}
