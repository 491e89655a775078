package engineclient

import (
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Run describes one attempt to execute a request on an engine.
type Run struct {
	Request ident.Request
	Attempt ident.Attempt
	Model   ident.Model
	// Body is the JSON body of the caller's request, with token limits set by
	// the router. The client changes only stream and stream_options.
	Body     []byte
	Priority int // passed to the engine in its priority header
	// MaxOutput is the number of tokens after which the answer is cut off. Zero
	// means no limit.
	MaxOutput tokens.Count
	CacheKey  string // identifies the prompt's prefix in the engine's cache; may be empty
}
