// Package engine is the client of model engines: prefill, transfer of KV cache, decode, cancellation, load reports and
// orders.
package engine

import "github.com/joomcode/errorx"

// PieceTokens is the number of tokens in one piece, the unit in which engines allocate KV cache memory.
const PieceTokens = 4096

// Paths of the engine's HTTP API.
const (
	PrefillPath  = "/v1/prefill"
	ImportPath   = "/v1/import"
	ExportPath   = "/v1/export/"
	DecodePath   = "/v1/decode"
	CancelPath   = "/v1/cancel"
	LoadPath     = "/v1/load"
	RequestsPath = "/v1/requests"
	EventsPath   = "/v1/cache-events"
	OrderPath    = "/v1/order"
)

// AttemptHeader is the header of responses for the attempt's id. Client does not read it: it detects a response to
// another attempt by the id in the body.
const AttemptHeader = "Engine-Attempt"

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  string `json:"attempt"`
	Owner    string `json:"owner"` // run of the instance that owns the request, as NAME-INCARNATION
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Continue string `json:"continue,omitempty"` // text generated so far, for a resumed stream
	Priority int    `json:"priority"`           // 0 is the most urgent
}

// PrefillResponse is the response to a PrefillRequest.
type PrefillResponse struct {
	Attempt  string `json:"attempt"`
	Handle   string `json:"handle"` // identifies the KV cache at this engine until it expires
	Tokens   int    `json:"tokens"`
	Cached   int    `json:"cached"`    // tokens found in the prefix cache
	ExpireMS int64  `json:"expire_ms"` // remaining lifetime in milliseconds
}

// ImportRequest asks a decode engine to fetch KV cache from a prefill engine and to reserve a slot.
type ImportRequest struct {
	Attempt   string `json:"attempt"`
	Owner     string `json:"owner"`
	Source    string `json:"source"` // address of the prefill engine
	Handle    string `json:"handle"`
	Tokens    int    `json:"tokens"`
	MaxTokens int    `json:"max_tokens"` // maximum number of tokens to generate
	Priority  int    `json:"priority"`
}

// ImportResponse is the response to an ImportRequest.
type ImportResponse struct {
	Attempt string `json:"attempt"`
	Bytes   int64  `json:"bytes"` // size of the transferred KV cache
}

// DecodeRequest asks an engine to generate tokens from imported KV cache.
type DecodeRequest struct {
	Attempt   string `json:"attempt"`
	MaxTokens int    `json:"max_tokens"`
	From      int    `json:"from"` // number of tokens that the caller already has, for a resumed stream
}

// Chunk is one generated token, or the end of the stream.
type Chunk struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"` // position in the generated text, from 0
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Reason  string `json:"reason,omitempty"` // why generation ended: stop or length
}

// CancelRequest asks an engine to end an attempt and to release its slot and memory.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// CancelResponse confirms a CancelRequest. Found is false if the engine held nothing for the attempt.
type CancelResponse struct {
	Attempt string `json:"attempt"`
	Found   bool   `json:"found"`
}

// Holding is the memory that an attempt holds at an engine.
type Holding struct {
	Attempt string `json:"attempt"`
	Owner   string `json:"owner"`
	Pieces  int    `json:"pieces"`
	Reading bool   `json:"reading"` // whether a connection reads the attempt's stream
}

// LoadReport is an engine's report of its load. It may lag behind the engine's state.
type LoadReport struct {
	Slots      int `json:"slots"` // slots in use
	SlotsMax   int `json:"slots_max"`
	Pieces     int `json:"pieces"` // pieces in use
	PiecesMax  int `json:"pieces_max"`
	QueueDepth int `json:"queue"` // requests waiting for a slot
}

// CacheEvent reports that a prefix was stored in or evicted from the prefix cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"` // hash of the prefix
	Stored   bool   `json:"stored"` // false when evicted
}

// Order orders an engine to load a model, adapter or version, or to change its role.
type Order struct {
	Fence   uint64 `json:"fence"` // fencing number; rises with each holder of the lease on orders
	Role    string `json:"role,omitempty"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

var (
	namespace    = errorx.NewNamespace("engine")
	unreachable  = namespace.NewType("unreachable")
	busy         = namespace.NewType("busy")
	gone         = namespace.NewType("gone")
	incomplete   = namespace.NewType("broken")
	wrongAttempt = namespace.NewType("crossed")
	staleFence   = namespace.NewType("stale")

	// ErrUnreachable means that no connection could be opened, so the call did not run.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrBusy means that the engine has no free slot or memory for the call.
	ErrBusy = busy.NewWithNoMessage()
	// ErrGone means that the KV cache or the attempt no longer exists at the engine.
	ErrGone = gone.NewWithNoMessage()
	// ErrIncomplete means that the call failed before a complete response arrived; it may have run.
	ErrIncomplete = incomplete.NewWithNoMessage()
	// ErrWrongAttempt means that the response belongs to another attempt.
	ErrWrongAttempt = wrongAttempt.NewWithNoMessage()
	// ErrStaleFence means that the engine refused an order with an old fencing number.
	ErrStaleFence = staleFence.NewWithNoMessage()
)
