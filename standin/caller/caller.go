// Package caller speaks for the users' callers and operator: the headers of their requests and their configuration.
package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Host and account of the configuration.
const (
	Host         = "shop.example"
	Account      = "dala"
	PlainService = "shop" // service of plain servers
	ModelService = "llm"  // service of model engines
)

// configurationFormat has four kinds of routes, and one open to all.
const configurationFormat = `{"version":%d,"routes":[
 {"name":"order","hostname":"shop.example","pathPrefix":"/order/","routeType":"non_idempotent","timeoutMs":%d,"targetLatencyMs":100,"service":"shop","maxAttempts":1},
 {"name":"status","hostname":"shop.example","pathPrefix":"/status/","routeType":"idempotent","timeoutMs":%d,"targetLatencyMs":100,"service":"shop","maxAttempts":2},
 {"name":"open","hostname":"shop.example","pathPrefix":"/open/","routeType":"idempotent","timeoutMs":%d,"targetLatencyMs":100,"service":"shop","maxAttempts":2,"public":true},
 {"name":"draft","hostname":"shop.example","pathPrefix":"/draft/","routeType":"streaming","timeoutMs":9000,"targetLatencyMs":900,"gapAimMs":300,"service":"llm","maxAttempts":1,"sticky":true},
 {"name":"digest","hostname":"shop.example","pathPrefix":"/digest/","routeType":"streaming","timeoutMs":9000,"targetLatencyMs":900,"gapAimMs":300,"service":"llm","maxAttempts":2,"sticky":true,"resumable":true}],
 "services":[{"name":"shop"},{"name":"llm","engine":{"slots":%d,"kvCapacityTokens":%d,"stride":8,"kvHoldS":0.5}}],
 "limits":{"maxBodyBytes":4096},
 "tenants":[{"name":"dala","apiKeys":["%s"],"unit":"tokens","plainTokens":200,"ratePerS":%d,"burst":%d}]}`

// Settings are what a test chooses of the configuration.
type Settings struct {
	Version        int
	PlainTimeout   time.Duration // of plain routes
	EngineSlots    int           // of a model engine
	EngineKVTokens int           // tokens of a model engine
	AccountRate    int           // tokens a second and burst of the account
	Key            string
}

// Configuration returns the operator's configuration.
func Configuration(s Settings) json.RawMessage {
	ms := s.PlainTimeout.Milliseconds()
	return json.RawMessage(fmt.Sprintf(configurationFormat, s.Version, ms, ms, ms, s.EngineSlots, s.EngineKVTokens, s.Key, s.AccountRate, s.AccountRate))
}

// Request is what a caller says of its request.
type Request struct {
	ID              string
	Key             string
	Deadline        time.Duration
	PromptTokens    int // tokens; 0 for a plain request
	MaxOutputTokens int // tokens at most
	LengthHint      int // tokens
}

// SetHeaders sets the headers of a request.
func (c Request) SetHeaders(h http.Header) {
	h.Set("Attempt-Id", c.ID)
	h.Set("Authorization", "Bearer "+c.Key)
	if c.Deadline > 0 {
		h.Set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	if c.PromptTokens > 0 {
		h.Set("Model-Name", "m")
		h.Set("Token-Count", fmt.Sprintf("%d,%d", c.PromptTokens, c.MaxOutputTokens))
		h.Set("Length-Hint", strconv.Itoa(c.LengthHint))
		h.Set("Prompt-Prefix", fmt.Sprintf("a:200,b:%d", max(c.PromptTokens-200, 0)))
	}
}

// SetForgedHeaders sets headers that only the router may set, and returns the names of those that no server may see at all.
func SetForgedHeaders(h http.Header, value string) []string {
	hidden := []string{"Kv-Hold", "Pin-Ms", "Kv-Backup", "Kv-Fetch", "Request-Priority", "Expected-Version"}
	for _, name := range hidden {
		h.Set(name, value)
	}
	h.Set("Tenant-Name", "other")
	h.Set("Kv-Source", "10.9.9.9:1/h")
	h.Set("Serving-Stage", "decode")
	return hidden
}

// HasSeal tells whether an answer bears a server's proof.
func HasSeal(h http.Header) bool { return h.Get("Response-Seal") != "" }
