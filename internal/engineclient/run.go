package engineclient

import (
	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Run is a dispatch of a request to an engine.
type Run struct {
	Request ident.Request
	Attempt ident.Attempt
	Model   ident.Model
	// Body is the caller's JSON, with its token limits set by the router. The
	// client changes only stream and stream_options.
	Body     []byte
	Priority int
	// MaxOutput is the number of tokens after which the answer is cut, or 0.
	MaxOutput tokens.Count
	CacheKey  string
}
