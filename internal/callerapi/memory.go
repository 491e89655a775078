package callerapi

import (
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	"example.org/lagoonfork/internal/guard"
	"example.org/lagoonfork/internal/refusal"
)

// Memory that a request takes at most.
const (
	// chatFactor is the memory for each byte of the body of a chat request while it is decoded, encoded
	// for the engine and run: the body in pieces and joined, a message, the texts of the messages and
	// their concatenation, and the bodies that are sent. It does not depend on what the body consists
	// of.
	chatFactor = 8
	// invalidFactor is the same if the body is not valid UTF-8, as each invalid byte is replaced by
	// a character of three bytes.
	invalidFactor = 3 * chatFactor
	// plainFactor is the memory for each byte of a call of a plain service, whose body is received
	// in pieces and then joined.
	plainFactor = 2
)

// LargestRequest returns the memory that a request with a body of the given size takes, without its
// head.
func LargestRequest(maxBody int64) int64 { return maxBody * chatFactor }

// chatMemory returns the memory that a chat request with the given body takes. The body need not be
// valid.
func chatMemory(body []byte) int64 {
	if !utf8.Valid(body) {
		return int64(len(body)) * invalidFactor
	}
	return int64(len(body)) * chatFactor
}

// unreadTimeout is how long the rest of the body of a refused request may take. net/http reads it before
// it writes the response, and keeps the connection if it comes in time.
const unreadTimeout = 500 * time.Millisecond

// unread bounds the time for the body of a request that is refused before its body has been read.
func (h *Handler) unread(w http.ResponseWriter, r *http.Request, refused *refusal.Refusal) *refusal.Refusal {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(h.Clock().Add(unreadTimeout)) // supported by net/http
	}
	return refused
}

// reserve reserves n bytes for a request whose body has been read, in addition to that of the body.
func reserve(r *http.Request, n int64) *refusal.Refusal {
	switch err := guard.Reserve(r.Context(), n); {
	case errors.Is(err, guard.ErrTooLarge):
		return refusal.New(refusal.BodyTooLarge, "what the body holds takes %d bytes of memory, more than the router has for one request", n)
	case err != nil:
		return memoryRefusal(r)
	}
	return nil
}

// memoryRefusal returns the refusal of a request for which there is no memory. An earlier request
// with the same idempotency key may have run.
func memoryRefusal(r *http.Request) *refusal.Refusal {
	const message = "the router has no memory for the request"
	refused := refusal.New(refusal.Memory, message)
	if r.Header.Get(HeaderIdempotencyKey) != "" {
		refused = refusal.NewMayHaveRun(refusal.Memory, message)
	}
	return refused.WithRetryAfter(guard.RetryAfter())
}

// HeadRefusal returns the body of the refusal of a request whose head has no memory. As the head
// has not been read, an earlier request with the same idempotency key may have run.
func HeadRefusal() []byte {
	const longest = 2 * time.Second // of guard.RetryAfter, which the response's header has
	return refusal.NewMayHaveRun(refusal.Memory, "the router has no memory for the header of the request").WithRetryAfter(longest).Encode("")
}
