package dispatch

import (
	"time"

	"example.org/lagoonfork/internal/plainclient"
	"example.org/lagoonfork/internal/refusal"
	"example.org/lagoonfork/pkg/engine"
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// End is how an answer ended. Unless Refusal is set, the answer is whole and
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

// Refusals' times to come back.
const (
	retrySoon  = time.Second
	retryLater = 10 * time.Second
)

// refused returns the end of an answer that was refused.
func refused(r *refusal.Refusal) End {
	return End{Refusal: r}
}
