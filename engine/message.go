// Package engine is the adapter to model engines: prefill, transfer of KV cache, decode, cancel and orders.
package engine

import "github.com/joomcode/errorx"

// PieceTokens is the number of tokens in one piece of an engine's KV cache memory.
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

// AttemptHeader carries the attempt's id in answers; another id marks a crossed answer.
const AttemptHeader = "Engine-Attempt"

// PrefillRequest asks for the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  string `json:"attempt"`
	Owner    string `json:"owner"` // incarnation of the instance that answers for the request
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Continue string `json:"continue,omitempty"` // text generated so far, for a resumed stream
	Priority int    `json:"priority"`           // 0 is the most urgent
}

// PrefillResponse is the answer to Prefill.
type PrefillResponse struct {
	Attempt  string `json:"attempt"`
	Handle   string `json:"handle"` // names the KV cache at this engine until it expires
	Tokens   int    `json:"tokens"`
	Cached   int    `json:"cached"`    // tokens found in the prefix cache
	ExpireMS int64  `json:"expire_ms"` // remaining lifetime in milliseconds
}

// ImportRequest asks a decode engine to take KV cache over from a prefill engine and to hold a slot.
type ImportRequest struct {
	Attempt   string `json:"attempt"`
	Owner     string `json:"owner"`
	Source    string `json:"source"` // address of the prefill engine
	Handle    string `json:"handle"`
	Tokens    int    `json:"tokens"`
	MaxTokens int    `json:"max_tokens"` // tokens that will be generated at most
	Priority  int    `json:"priority"`
}

// ImportResponse is the answer to Import.
type ImportResponse struct {
	Attempt string `json:"attempt"`
	Bytes   int64  `json:"bytes"` // size of the transfer
}

// DecodeRequest starts generation from imported KV cache.
type DecodeRequest struct {
	Attempt   string `json:"attempt"`
	MaxTokens int    `json:"max_tokens"`
	From      int    `json:"from"` // tokens that the caller has already, for a resumed stream
}

// Chunk is one generated token, or the end of the stream.
type Chunk struct {
	Attempt string `json:"attempt"`
	Index   int    `json:"index"` // position in the answer, from 0
	Text    string `json:"text"`
	Done    bool   `json:"done"`
	Reason  string `json:"reason,omitempty"` // why generation ended: stop or length
}

// CancelRequest ends an attempt and releases all that it holds at the engine.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}

// CancelResponse confirms a Cancel; Found is false if the engine holds nothing of the attempt.
type CancelResponse struct {
	Attempt string `json:"attempt"`
	Found   bool   `json:"found"`
}

// Holding is one attempt that holds memory at an engine.
type Holding struct {
	Attempt string `json:"attempt"`
	Owner   string `json:"owner"`
	Pieces  int    `json:"pieces"`
	Reading bool   `json:"reading"` // whether a connection reads the attempt's stream
}

// LoadReport is an engine's report of its load, given with a lag.
type LoadReport struct {
	Slots      int `json:"slots"` // slots in use
	SlotsMax   int `json:"slots_max"`
	Pieces     int `json:"pieces"` // pieces in use
	PiecesMax  int `json:"pieces_max"`
	QueueDepth int `json:"queue"` // requests waiting for a slot
}

// CacheEvent tells of a prefix that entered or left the cache. Sequence numbers may have gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   string `json:"prefix"` // hash of the prefix
	Stored   bool   `json:"stored"` // false when evicted
}

// Order tells an engine to load a model, adapter or version, or to change its role.
type Order struct {
	Fence   uint64 `json:"fence"` // fencing number; rises with each holder of the pool's lease
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

	// ErrUnreachable says that no connection could be opened: nothing ran.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrBusy says that the engine refused for want of a slot or memory.
	ErrBusy = busy.NewWithNoMessage()
	// ErrGone says that the KV cache or the attempt does not exist any more.
	ErrGone = gone.NewWithNoMessage()
	// ErrIncomplete says that the answer ended or failed before it was whole.
	ErrIncomplete = incomplete.NewWithNoMessage()
	// ErrWrongAttempt says that an answer belongs to another attempt.
	ErrWrongAttempt = wrongAttempt.NewWithNoMessage()
	// ErrStaleFence says that the engine refused an order with an old fencing number.
	ErrStaleFence = staleFence.NewWithNoMessage()
)
