package figures

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFiguresAreBoundedJSON(t *testing.T) {
	f := New()
	for i := range 3 * maxRoutes {
		f.RecordRequest(fmt.Sprint("route", i), "delivered", 20*time.Millisecond, 5*time.Millisecond)
	}
	f.RecordRequest("route0", "cutOff", 24*time.Hour, 0)
	f.Count("sendsRepeated")
	f.Gauge("upstreams", func() any { return 7 })
	w := httptest.NewRecorder()
	f.ServeHTTP(w, nil)
	var got struct {
		RequestsByOutcome map[string]int
		SendsRepeated     int
		Upstreams         int
		Routes            map[string]map[string]quantiles
	}
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, map[string]int{"delivered": 3 * maxRoutes, "cutOff": 1}, got.RequestsByOutcome)
	assert.Equal(t, 1, got.SendsRepeated)
	assert.Equal(t, 7, got.Upstreams)
	assert.Len(t, got.Routes, maxRoutes+1)
	assert.EqualValues(t, 2*maxRoutes, got.Routes[otherRoutes]["total"].Count)
	assert.InDelta(t, 20, got.Routes["route1"]["total"].P50Millis, 0.5)
	assert.EqualValues(t, 1, got.Routes["route0"]["firstEvent"].Count)
}
