package peerapi

import (
	"encoding/json"
	"net/http/httptest"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/ledger"
)

// heap returns the memory that is in use.
func heap() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

var op = reflect.TypeFor[ledger.Op]()

// TestDecodedBytesCoverLists guards against lists that take more memory than is reserved once they are
// decoded, or that grow while they are.
func TestDecodedBytesCoverLists(t *testing.T) {
	const size = 300_000
	for _, element := range []string{"0", "null", `""`, "{}", "[]", `{"draw":{}}`, `{"open":{}}`, `{"open":{"claim":{}}}`, `{"settle":{"claim":{}}}`, `{"takeOver":{}}`} {
		body := "[" + element + strings.Repeat(","+element, size/(len(element)+1)) + "]"
		before := heap()
		in, _ := decodeBody[[]ledger.Op](&Handler{}, httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(body)))
		taken := heap() - before + int64(len(body))*bufferFactor
		reserved := max(decodedBytes([]byte(body), strings.Count(body, element), op), int64(len(body))*bodyFactor)
		t.Logf("%s: %.1f of %.1f bytes for each", element, float64(taken)/float64(len(body)), float64(reserved)/float64(len(body)))
		assert.LessOrEqual(t, taken, reserved, element)
		assert.LessOrEqual(t, cap(in), strings.Count(body, element), element)
		runtime.KeepAlive(in)
	}
}

// TestOrdinaryOpsTakeTheirLength guards against ordinary calls for which much more memory is reserved
// than for their bytes.
func TestOrdinaryOpsTakeTheirLength(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	claim := ledger.Claim{
		Request: "r.0123456789abcdef01234567", Customer: "customer", Application: "application", Holder: "vm-0-0123456789ab",
		Attempt: "vm-0-0123456789ab.17-1", State: ledger.StateSettled, Upstream: "upstream", Opened: now, Ended: now,
	}
	var ops []ledger.Op
	for range 100 {
		ops = append(ops, ledger.Op{Budget: "budget", Settle: &ledger.Settle{Claim: claim}})
	}
	body, err := json.Marshal(ops)
	require.NoError(t, err)
	assert.Less(t, decodedBytes(body, len(ops), op), int64(len(body))*(bodyFactor+1))
}
