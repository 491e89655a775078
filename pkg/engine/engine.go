// Package engine defines the protocol between a router and a model engine:
// paths, headers and message bodies.
//
// The inference calls follow the published OpenAI chat-completions format, with
// its snake case names. All other bodies use camel case.
//
// An engine numbers the tokens of an answer from 1 in the id lines of the
// server-sent events. A chunk that carries no token has no id line. The engine
// repeats the X-Request-Id and X-Attempt-Id headers of each call in its
// response, and the attempt in the id field of every chunk, so that a reader
// can detect an answer to another request or attempt.
//
// An engine continues a run after its reader has disconnected, until the run
// ends or is cancelled. It retains the run for some time, so that another
// reader can resume it after any token.
//
// # Usage
//
// A reader of a stream collects the chunks into one completion:
//
//	completion, err := engine.Collect(ctx, stream, attempt, model, created)
//
// Package engine/enginetest is the conformance test suite for engines.
package engine

import (
	"time"

	"example.org/lagoonfork/pkg/ident"
	"example.org/lagoonfork/pkg/tokens"
)

// Paths of the calls.
const (
	PathCompletions = "/v1/chat/completions"
	PathModels      = "/v1/models"
	PathStreams     = "/v1/streams/" // followed by the escaped request identifier
	PathLoad        = "/load"
	PathCacheEvents = "/cache/events" // with the query parameter after
	PathCacheExport = "/cache/export"
	PathCacheImport = "/cache/import"
	PathOrders      = "/orders"
)

// Headers of the calls and of their responses.
const (
	HeaderRequest     = "X-Request-Id"
	HeaderAttempt     = "X-Attempt-Id"
	HeaderPriority    = "X-Priority"
	HeaderCacheKey    = "X-Cache-Key"
	HeaderLastEventID = "Last-Event-ID"
	// HeaderNotRun has the value "true" in a refusal if the request is
	// guaranteed not to have run.
	HeaderNotRun = "X-Not-Run"
)

// Done is the data of the last event of a complete stream.
const Done = "[DONE]"

// Reasons why an answer ends.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     tokens.Count   `json:"prompt_tokens"`
	CompletionTokens tokens.Count   `json:"completion_tokens"`
	TotalTokens      tokens.Count   `json:"total_tokens"`
	Details          *PromptDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptDetails breaks down the tokens of a prompt.
type PromptDetails struct {
	CachedTokens tokens.Count `json:"cached_tokens"` // found in the prefix cache
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is a complete answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`  // "chat.completion"
	Created int64    `json:"created"` // Unix time in seconds
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a complete answer.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Chunk is a part of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`  // "chat.completion.chunk"
	Created int64         `json:"created"` // Unix time in seconds
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the part of a chunk that belongs to one alternative.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the addition that a chunk makes to a message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ModelList is the response to PathModels.
type ModelList struct {
	Object string      `json:"object"` // "list"
	Data   []ModelCard `json:"data"`
}

// ModelCard describes one model.
type ModelCard struct {
	ID      ident.Model `json:"id"`
	Object  string      `json:"object"`  // "model"
	Created int64       `json:"created"` // Unix time in seconds
	OwnedBy string      `json:"owned_by"`
}

// Load is the load report of an engine. It describes the engine as it was at
// AsOf, which may be well before the report is read.
type Load struct {
	Slots         int           `json:"slots"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	QueuedTokens  tokens.Count  `json:"queuedTokens"`
	RunningTokens tokens.Count  `json:"runningTokens"`
	LoadedModels  []LoadedModel `json:"loadedModels"`
	AsOf          time.Time     `json:"asOf"`
	Leaving       bool          `json:"leaving"`
	Role          Role          `json:"role,omitempty"`
	// Started is the start time of the engine's process, if reported.
	Started time.Time `json:"started,omitzero"`
}

// LoadedModel is a model, at one version and with at most one adapter, that an
// engine can run without loading anything first.
type LoadedModel struct {
	Model   ident.Model `json:"model"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
}

// CacheEventKind is the kind of a change to a cached prefix.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent reports a change of an engine's prefix cache. Events are delivered
// with a delay. A gap in the sequence numbers means that events were lost, so
// that knowledge of the cache from earlier events is no longer valid.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Key      string         `json:"key"` // the X-Cache-Key of the request that stored it
	Tokens   tokens.Count   `json:"tokens"`
}

// CacheEvents is the response to PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEntry is an exported prefix. Data is opaque to the router.
type CacheEntry struct {
	Key    string       `json:"key"`
	Tokens tokens.Count `json:"tokens"`
	Data   []byte       `json:"data"`
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "loadModel"
	OrderUnloadModel OrderKind = "unloadModel"
	OrderLoadAdapter OrderKind = "loadAdapter"
	OrderChangeRole  OrderKind = "changeRole"
)

// Role selects the phases of inference that an engine performs.
type Role string

// Roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order is a command to an engine. An engine that checks fencing numbers
// refuses an order whose number is lower than the highest it has seen.
type Order struct {
	FencingNumber uint64      `json:"fencingNumber"`
	Kind          OrderKind   `json:"kind"`
	Model         ident.Model `json:"model,omitempty"`
	Version       string      `json:"version,omitempty"`
	Adapter       string      `json:"adapter,omitempty"`
	Role          Role        `json:"role,omitempty"`
}

// Event is one event of an answer, verified to belong to its attempt. It
// carries either a token or the finish reason.
type Event struct {
	// Index is the number of the token, from 1, or 0 if the event carries none.
	Index int
	Text  string
	// FinishReason is set on the last event of a complete answer and on no other.
	FinishReason string
	// Usage may be set together with FinishReason.
	Usage *Usage
	// Raw is the chunk of a token as the engine sent it. It is valid until the
	// next call of Next.
	Raw []byte
}
