// Package refusal defines the errors that callers receive and their JSON encoding.
//
// A Refusal has a stable code, reports whether it is certain that the request was not
// run, and states after what time a retry may succeed.
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

// Refusal is an error that is returned to a caller.
type Refusal struct {
	Code    Code
	Message string
	// NotRun reports that it is certain that the request was not run.
	NotRun bool
	// RetryAfter is the time after which to retry, or 0 if a retry is of no use.
	RetryAfter time.Duration
}

// Code is a stable error code.
type Code string

// Codes of refusals.
const (
	BadRequest           Code = "badRequest"
	BodyTooLarge         Code = "bodyTooLarge"
	Unauthorized         Code = "unauthorized"
	Forbidden            Code = "forbidden"
	NotFound             Code = "notFound"
	UnknownModel         Code = "unknownModel"
	IdempotencyKeyReused Code = "idempotencyKeyReused"
	BudgetExhausted      Code = "budgetExhausted"
	LedgerUnreachable    Code = "ledgerUnreachable"
	Overloaded           Code = "overloaded"
	Quarantined          Code = "requestQuarantined"
	NoUpstream           Code = "noUpstream"
	UpstreamRefused      Code = "upstreamRefused"
	UpstreamFailed       Code = "upstreamFailed"
	OutcomeUnknown       Code = "outcomeUnknown"
	DeadlineExceeded     Code = "deadlineExceeded"
	CallerLeft           Code = "callerLeft"
	Superseded           Code = "superseded"
	AnswerNotHeld        Code = "answerNotHeld"
	BillPending          Code = "billPending"
	NotReady             Code = "notReady"
	Memory               Code = "memory"
)

// httpStatuses maps each code to its HTTP status.
var httpStatuses = map[Code]int{
	BadRequest:           http.StatusBadRequest,
	BodyTooLarge:         http.StatusRequestEntityTooLarge,
	Unauthorized:         http.StatusUnauthorized,
	Forbidden:            http.StatusForbidden,
	NotFound:             http.StatusNotFound,
	UnknownModel:         http.StatusNotFound,
	IdempotencyKeyReused: http.StatusUnprocessableEntity,
	BudgetExhausted:      http.StatusPaymentRequired,
	LedgerUnreachable:    http.StatusServiceUnavailable,
	Overloaded:           http.StatusTooManyRequests,
	Quarantined:          http.StatusUnprocessableEntity,
	NoUpstream:           http.StatusServiceUnavailable,
	UpstreamRefused:      http.StatusBadRequest,
	UpstreamFailed:       http.StatusBadGateway,
	OutcomeUnknown:       http.StatusBadGateway,
	DeadlineExceeded:     http.StatusGatewayTimeout,
	CallerLeft:           http.StatusBadGateway,
	Superseded:           http.StatusConflict,
	AnswerNotHeld:        http.StatusConflict,
	BillPending:          http.StatusServiceUnavailable,
	NotReady:             http.StatusServiceUnavailable,
	Memory:               http.StatusServiceUnavailable,
}

// Codes returns all codes and their HTTP statuses.
func Codes() map[Code]int {
	codes := make(map[Code]int, len(httpStatuses))
	for c, s := range httpStatuses {
		codes[c] = s
	}
	return codes
}

// New returns a Refusal of a request that was certainly not run.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...), NotRun: true}
}

// NewMayHaveRun returns a Refusal of a request that was or may have been run.
func NewMayHaveRun(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which to retry and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	return httpStatuses[r.Code]
}

// Encode returns the JSON encoding of the refusal of the given request.
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
		panic(err) // cannot happen: the body has only strings, numbers and booleans
	}
	return data
}

// Write writes the refusal as the response to the given request.
func (r *Refusal) Write(w http.ResponseWriter, request ident.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(r.Encode(request)) // fails if the caller has disconnected
}
