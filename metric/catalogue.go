package metric

// Kind is the Prometheus type of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition describes a metric. Prometheus sees the name with the prefix "teaselgate_".
type Definition struct {
	Name string
	Kind Kind
	Tags []string
	Help string
}

// Metrics of an instance.
var (
	Requests = Definition{
		"requests", Counter,
		[]string{"route", "outcome", "status"},
		"Requests of callers that ended. The outcome is `answered`, `broken` (the response broke off), `cancelled` (the caller disconnected) or, of a refusal, the outcome that it states: `not-run`, `unknown`, `ran`. The status is the HTTP status.",
	}
	RequestTime = Definition{
		"request_seconds", Histogram,
		[]string{"route"},
		"Time from a request's header to the end of its response.",
	}
	FirstChunk = Definition{
		"first_chunk_seconds", Histogram,
		[]string{"route"},
		"Time from a request's header to the first chunk of a streamed response, which contains the first token; the target is 0.77 s.",
	}
	ChunkGap = Definition{
		"chunk_gap_seconds", Histogram, nil,
		"Time between two chunks of a streamed response. Each chunk contains a token, except the last, which marks the end. The target is 36 ms.",
	}
	InFlight = Definition{
		"requests_in_flight", Gauge, nil,
		"Requests in flight.",
	}
	Connections = Definition{
		"connections", Gauge, nil,
		"Open connections of callers; `limit.connections` bounds them.",
	}
	Events = Definition{
		"events", Counter,
		[]string{"number", "event"},
		"Events by kind, as listed in docs/EVENTS.md. Kinds that have not occurred are absent.",
	}
	Members = Definition{
		"members", Gauge,
		[]string{"state"},
		"Known instances, including this one, by state: `live`, `leaving`, `suspect`, `gone`.",
	}
	Revision = Definition{
		"rules_revision", Gauge, nil,
		"Revision of the rules in force; 0 before the first one.",
	}
)

// Metrics of placement. A pool whose dispatcher runs on another instance shows 0.
var (
	CellWaiting = Definition{
		"cell_waiting", Gauge,
		[]string{"pool"},
		"Requests that wait at this instance's dispatcher for a slot of the decode pool.",
	}
	CellUsed = Definition{
		"cell_used", Gauge,
		[]string{"pool"},
		"Slots of the decode pool that this instance's dispatcher has reserved.",
	}
	CellSlots = Definition{
		"cell_slots", Gauge,
		[]string{"pool"},
		"Slots of the decode pool that this instance's dispatcher may reserve: those of usable servers, as many as the target for the time between tokens allows.",
	}
)

// Metrics of the request path, of the platform store, of the age of the data from it, and of the log.
var (
	RequestResults = Definition{
		"answers", Counter,
		[]string{"kind", "outcome"},
		"Requests by the kind of their route (`idempotent`, `once`, `streaming`, `none` before it is known) and by result: `done`, `over-rate` (429), `not-run` (other refusals), `failed` (502, the request may have run), `late` (504), `cancelled` (the caller disconnected, or the response broke off).",
	}
	StageTime = Definition{
		"stage_seconds", Histogram,
		[]string{"stage"},
		"Time of the stages of requests: `queue` (until servers are assigned), `prefill`, `transfer` (from the request to the decode engine to its first event), `service` (one plain server, to the end of its response). The time between events is `chunk_gap_seconds`.",
	}
	StoreCalls = Definition{
		"store_calls", Counter,
		[]string{"method", "result"},
		"Calls to the platform store. The result is `ok`, `conflict`, `missing`, `history` (the changes are no longer kept), `down` or `unknown` (a write without a response).",
	}
	PeerBytes = Definition{
		"peer_bytes", Counter,
		[]string{"method", "direction"},
		"Bytes of calls between instances by method and direction (`sent`, `received`), with headers and without those of TLS. The method of a call that does not exist is empty.",
	}
	StoreTime = Definition{
		"store_seconds", Histogram,
		[]string{"method"},
		"Time of calls to the platform store, without those that wait for changes.",
	}
	Servers = Definition{
		"servers", Gauge,
		[]string{"duty", "state"},
		"Backend servers in force by duty (`plain`, `prefill`, `decode`) and state (`live`, `leaving`, `evacuated`).",
	}
	ServersBusy = Definition{
		"servers_busy", Gauge, nil,
		"Backend servers that want no requests from this instance at present, by the Retry-After of a 503.",
	}
	ServersLimited = Definition{
		"servers_limited", Gauge, nil,
		"Backend servers that have named the requests a second that they take from all instances together.",
	}
	SlotsWaiting = Definition{
		"slots_waiting", Gauge,
		[]string{"pool"},
		"Requests that wait at this instance for a slot of a plain service; 0 where another instance gives out its slots.",
	}
	SlotsUsed = Definition{
		"slots_used", Gauge,
		[]string{"pool"},
		"Slots of a plain service that this instance has given out, to all instances.",
	}
	PromisedReturns = Definition{
		"promised_returns", Gauge,
		[]string{"pool"},
		"Refused callers for which this instance's dispatcher holds room of the decode pool until they return.",
	}
	MemoryHeld = Definition{
		"memory_held_bytes", Gauge, nil,
		"Bytes of bodies and responses that are held for callers and servers that are slower than the instance; `limit.memory` bounds them.",
	}
	HeadersHeld = Definition{
		"headers_held_bytes", Gauge, nil,
		"Bytes that the headers of callers' requests take, as they are counted; `limit.heads` bounds them.",
	}
	Quarantined = Definition{
		"quarantined", Gauge, nil,
		"Requests, and parts of prompts or groups of them, under which servers crashed, and which are refused.",
	}
	StoreDataAge = Definition{
		"belief_age_seconds", Gauge,
		[]string{"belief"},
		"Age of the data from the platform store: `store` (since the store last answered this instance), `fleet` (since it was last known to answer any reachable instance).",
	}
	RetriesLeft = Definition{
		"retries_left", Gauge,
		[]string{"service"},
		"Retries that this instance may still send to a service within its retry budget.",
	}
	RateShare = Definition{
		"rate_share", Gauge, nil,
		"Share of each client account's rate that this instance's dispatcher may grant; 0 if it has no dispatcher.",
	}
	LinesDropped = Definition{
		"log_lines_dropped", Counter, nil,
		"Log lines that were dropped because the output of the log was too slow.",
	}
)

// Catalogue lists every metric, in the order of docs/METRICS.md.
var Catalogue = []Definition{
	Requests, RequestTime, FirstChunk, ChunkGap, InFlight, Connections, Events, Members, Revision,
	CellWaiting, CellUsed, CellSlots,
	RequestResults, StageTime, StoreCalls, StoreTime, PeerBytes, Servers, ServersBusy, ServersLimited, SlotsWaiting, SlotsUsed, PromisedReturns, MemoryHeld, HeadersHeld, Quarantined,
	StoreDataAge, RetriesLeft, RateShare, LinesDropped,
}
