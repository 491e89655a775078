// Package refusal defines the errors that callers receive, in one JSON shape.
//
// A Refusal has a stable code, says whether it is certain that nothing was run,
// and tells when it is worth coming back.
//
// # Usage
//
//	r := refusal.New(refusal.BudgetExhausted, "budget %s has too few tokens left", budget)
//	r.Write(w, requestID)
package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"example.org/lagoonfork/pkg/ident"
)

// Refusal is an error for a caller.
type Refusal struct {
	Code    Code
	Message string
	// NotRun reports that it is certain that nothing was run.
	NotRun bool
	// RetryAfter is when to try again, or 0 if trying again does not help.
	RetryAfter time.Duration
}

// Code is a stable error code.
type Code string

// Codes.
const (
	BadRequest        Code = "badRequest"
	BodyTooLarge      Code = "bodyTooLarge"
	Unauthorized      Code = "unauthorized"
	Forbidden         Code = "forbidden"
	NotFound          Code = "notFound"
	UnknownModel      Code = "unknownModel"
	KeyReused         Code = "idempotencyKeyReused"
	BudgetExhausted   Code = "budgetExhausted"
	LedgerUnreachable Code = "ledgerUnreachable"
	Overloaded        Code = "overloaded"
	Quarantined       Code = "requestQuarantined"
	NoUpstream        Code = "noUpstream"
	UpstreamRefused   Code = "upstreamRefused"
	UpstreamFailed    Code = "upstreamFailed"
	OutcomeUnknown    Code = "outcomeUnknown"
	DeadlineExceeded  Code = "deadlineExceeded"
	Superseded        Code = "superseded"
	AnswerNotHeld     Code = "answerNotHeld"
	BillPending       Code = "billPending"
	NotReady          Code = "notReady"
)

// statuses gives the HTTP status of each code.
var statuses = map[Code]int{
	BadRequest:        http.StatusBadRequest,
	BodyTooLarge:      http.StatusRequestEntityTooLarge,
	Unauthorized:      http.StatusUnauthorized,
	Forbidden:         http.StatusForbidden,
	NotFound:          http.StatusNotFound,
	UnknownModel:      http.StatusNotFound,
	KeyReused:         http.StatusUnprocessableEntity,
	BudgetExhausted:   http.StatusPaymentRequired,
	LedgerUnreachable: http.StatusServiceUnavailable,
	Overloaded:        http.StatusTooManyRequests,
	Quarantined:       http.StatusUnprocessableEntity,
	NoUpstream:        http.StatusServiceUnavailable,
	UpstreamRefused:   http.StatusBadRequest,
	UpstreamFailed:    http.StatusBadGateway,
	OutcomeUnknown:    http.StatusBadGateway,
	DeadlineExceeded:  http.StatusGatewayTimeout,
	Superseded:        http.StatusConflict,
	AnswerNotHeld:     http.StatusConflict,
	BillPending:       http.StatusServiceUnavailable,
	NotReady:          http.StatusServiceUnavailable,
}

// Codes returns all codes with their HTTP status.
func Codes() map[Code]int {
	all := make(map[Code]int, len(statuses))
	for c, s := range statuses {
		all[c] = s
	}
	return all
}

// New returns a refusal of a request that was certainly not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// Ran returns a refusal of a request that was or may have been run.
func Ran(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// After returns r with the time after which to try again.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	return statuses[r.Code]
}

// Encode returns the refusal as JSON.
func (r *Refusal) Encode(request ident.Request) []byte {
	body := struct {
		Error any `json:"error"`
	}{struct {
		Code             Code          `json:"code"`
		Message          string        `json:"message"`
		RequestID        ident.Request `json:"requestId,omitempty"`
		NotRun           bool          `json:"notRun"`
		RetryAfterMillis int64         `json:"retryAfterMillis,omitempty"`
	}{r.Code, r.Message, request, r.NotRun, r.RetryAfter.Milliseconds()}}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return data
}

// Write sends the refusal as the response to a request.
func (r *Refusal) Write(w http.ResponseWriter, request ident.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(r.Encode(request)) // the caller may have gone
}
