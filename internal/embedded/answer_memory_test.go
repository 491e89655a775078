package embedded

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/lagoonfork/internal/audit"
	"example.org/lagoonfork/internal/callerlimit"
	"example.org/lagoonfork/internal/fake/plainservice"
	"example.org/lagoonfork/pkg/ident"
)

// startWithLargeResponses starts three routers that hold four responses of plain services at most.
func startWithLargeResponses(t *testing.T) *Deployment {
	d := start(t, 3, func(s *Settings) { s.Limits.VM = callerlimit.VM{Memory: 64e6} })
	for _, p := range d.PlainServices {
		p.SetFaults(plainservice.Faults{ExcessBytes: 2 << 20})
	}
	return d
}

// callKeyed sends a call to the first router. One with GET is idempotent, one with POST is not.
func callKeyed(t *testing.T, d *Deployment, method, key string) (status int, body string, answered audit.Answered) {
	request, err := http.NewRequest(method, d.URL(0)+"/services/register/permits", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+testAPIKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	id := ident.Request(response.Header.Get("X-Request-Id"))
	return response.StatusCode, string(data), audit.Answered{Budget: "large-main", Request: id}
}

// TestDroppedAnswers guards against repetitions that are billed again, get another answer, or run
// again although they must not, after the answers to the first requests had to make room.
func TestDroppedAnswers(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) { testDroppedAnswers(t, method) })
	}
}

func testDroppedAnswers(t *testing.T, method string) {
	const requests = 6
	d := startWithLargeResponses(t)
	var first []string
	var answered []audit.Answered
	for n := range requests {
		status, body, a := callKeyed(t, d, method, fmt.Sprintf("k%d", n))
		require.Equal(t, http.StatusOK, status, "%.200s", body)
		first, answered = append(first, body), append(answered, a)
	}
	dropped := 0
	for n := requests - 1; n >= 0; n-- {
		status, body, _ := callKeyed(t, d, method, fmt.Sprintf("k%d", n))
		if status == http.StatusConflict {
			assert.Contains(t, body, "answerNotHeld")
			assert.Contains(t, body, `"notRun":false`)
			dropped++
			continue
		}
		assert.Zero(t, dropped, "the oldest are dropped first")
		require.Equal(t, http.StatusOK, status, "%.200s", body)
		assert.True(t, first[n] == body, "the same answer")
	}
	assert.Positive(t, dropped)
	assert.Less(t, dropped, requests)
	if method == http.MethodPost {
		assert.Equal(t, requests, totalExecutions(d))
	}
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, requests, report.Billed)
}

// TestAnswersWithoutABillAreKept guards against answers that make room before the ledger knows of their
// requests, so that repetitions run again.
func TestAnswersWithoutABillAreKept(t *testing.T) {
	const requests = 4 // one of them beside the limit
	d := startWithLargeResponses(t)
	answered := warmUp(t, d)
	setOutage(d, true)
	var first []string
	for n := range requests {
		status, body, a := callKeyed(t, d, http.MethodGet, fmt.Sprintf("k%d", n))
		require.Equal(t, http.StatusOK, status, "%.200s", body)
		first, answered = append(first, body), append(answered, a)
	}
	for n := range requests {
		status, body, _ := callKeyed(t, d, http.MethodGet, fmt.Sprintf("k%d", n))
		require.Equal(t, http.StatusOK, status, "%.200s", body)
		assert.True(t, first[n] == body, "the same answer")
	}
	assert.Equal(t, requests, totalExecutions(d))
	setOutage(d, false)
	report := requireCleanAudit(t, d, answered)
	assert.Equal(t, len(answered), report.Billed)
}
