// Package caller makes what callers and operators send in tests: request headers and the configuration.
package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names in the configuration.
const (
	Host         = "shop.example" // hostname of all routes
	Account      = "dala"         // client account
	PlainService = "shop"         // service of plain backend servers
	ModelService = "llm"          // service of prefill and decode engines
)

// configurationFormat is the format of the configuration. Its routes are, in this order, one that must not be retried,
// an idempotent one, a public one, a streaming one and a resumable streaming one.
const configurationFormat = `{"version":%d,"routes":[
 {"name":"order","hostname":"shop.example","pathPrefix":"/order/","routeType":"non_idempotent","timeoutMs":%d,"targetLatencyMs":100,"service":"shop","maxAttempts":1},
 {"name":"status","hostname":"shop.example","pathPrefix":"/status/","routeType":"idempotent","timeoutMs":%d,"targetLatencyMs":100,"service":"shop","maxAttempts":2},
 {"name":"open","hostname":"shop.example","pathPrefix":"/open/","routeType":"idempotent","timeoutMs":%d,"targetLatencyMs":100,"service":"shop","maxAttempts":2,"public":true},
 {"name":"draft","hostname":"shop.example","pathPrefix":"/draft/","routeType":"streaming","timeoutMs":9000,"targetLatencyMs":900,"gapAimMs":300,"service":"llm","maxAttempts":1,"sticky":true,"priority":0},
 {"name":"digest","hostname":"shop.example","pathPrefix":"/digest/","routeType":"streaming","timeoutMs":9000,"targetLatencyMs":900,"gapAimMs":300,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true,"priority":%d}],
 "services":[{"name":"shop","coldS":%g,"coldPerS":%g},{"name":"llm","engine":{"slots":%d,"kvCapacityTokens":%d,"stride":8,"kvHoldS":0.5}}],
 "limits":{"maxBodyBytes":4096},
 "tenants":[{"name":"dala","apiKeys":["%s"],"unit":"tokens","plainTokens":200,"ratePerS":%d,"burst":%d}]}`

// Settings are the values of the configuration that a test chooses.
type Settings struct {
	Version        int
	PlainTimeout   time.Duration // timeout of routes to plain backend servers
	EngineSlots    int           // slots per engine
	EngineKVTokens int           // KV cache capacity per engine, in tokens
	AccountRate    int           // rate of the client account in tokens per second, and its burst in tokens
	Key            string        // API key of the client account
	DigestPriority int           // priority of the route of resumable streams; that of the other routes is 0
	ColdTime       time.Duration // how long plain backend servers are cold after a start
	ColdRate       float64       // requests per second that a cold plain backend server takes; 0 means no limit
}

// Configuration returns the configuration document as an operator writes it.
func Configuration(s Settings) json.RawMessage {
	ms := s.PlainTimeout.Milliseconds()
	return json.RawMessage(fmt.Sprintf(configurationFormat,
		s.Version, ms, ms, ms, s.DigestPriority, s.ColdTime.Seconds(), s.ColdRate, s.EngineSlots, s.EngineKVTokens, s.Key, s.AccountRate, s.AccountRate))
}

// Request is what a caller states about its request in headers.
type Request struct {
	ID              string
	Key             string
	Deadline        time.Duration // time left until the deadline of the caller; 0 sends none
	PromptTokens    int           // 0 for a request to a plain backend server
	MaxOutputTokens int
	LengthHint      int      // expected output, in tokens
	SharedParts     []string // ids of the parts of the prompt that other requests have, too; empty for one part named a
}

// SetHeaders adds the headers of the request to h.
func (r Request) SetHeaders(h http.Header) {
	h.Set("Attempt-Id", r.ID)
	h.Set("Authorization", "Bearer "+r.Key)
	if r.Deadline > 0 {
		h.Set("Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.PromptTokens > 0 {
		h.Set("Model-Name", "m")
		h.Set("Token-Count", fmt.Sprintf("%d,%d", r.PromptTokens, r.MaxOutputTokens))
		h.Set("Length-Hint", strconv.Itoa(r.LengthHint))
		// The parts of the prompt in order, each as PART-ID:TOKENS.
		h.Set("Prompt-Prefix", r.promptPrefix())
	}
}

// promptPrefix lists the parts of the prompt, of which the last belongs to the request itself.
func (r Request) promptPrefix() string {
	const sharedPartTokens = 200
	shared := r.SharedParts
	if len(shared) == 0 {
		shared = []string{"a"}
	}
	var b strings.Builder
	for _, part := range shared {
		fmt.Fprintf(&b, "%s:%d,", part, sharedPartTokens)
	}
	fmt.Fprintf(&b, "b:%d", max(r.PromptTokens-len(shared)*sharedPartTokens, 0))
	return b.String()
}

// SetForgedHeaders sets headers that only an instance may set, as a malicious caller would. It returns the names of
// those that no backend server may receive at all; the others must be overwritten or removed.
func SetForgedHeaders(h http.Header, value string) []string {
	neverForwarded := []string{"Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-Fetch", "Request-Priority", "Expected-Version"}
	for _, name := range neverForwarded {
		h.Set(name, value)
	}
	h.Set("Tenant-Name", "other")
	h.Set("Kv-Source", "10.9.9.9:1/h")
	h.Set("Serving-Stage", "decode")
	return neverForwarded
}

// HasSeal reports whether a response carries a seal, the proof that it comes from a backend server.
func HasSeal(h http.Header) bool { return h.Get("Response-Seal") != "" }
