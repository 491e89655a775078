package dispatch

import (
	"time"

	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// End is the end of an answer. If Refusal is nil, the answer is complete and
// billed.
type End struct {
	Refusal      *refusal.Refusal      `json:"refusal,omitempty"`
	Attempt      ident.Attempt         `json:"attempt,omitempty"`
	Upstream     ident.Upstream        `json:"upstream,omitempty"`
	FinishReason string                `json:"finishReason,omitempty"`
	Usage        *engine.Usage         `json:"usage,omitempty"`
	Response     *plainclient.Response `json:"response,omitempty"`
	Cost         tokens.Count          `json:"cost"`
}

// Delays after which refusals ask the caller to try again (Retry-After).
const (
	shortRetryDelay = time.Second
	longRetryDelay  = 10 * time.Second
)

// refusalEnd returns the end of the answer to a refused request.
func refusalEnd(r *refusal.Refusal) End {
	return End{Refusal: r}
}
