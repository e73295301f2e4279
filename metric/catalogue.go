package metric

// Kind is how a metric behaves.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition describes a metric. Its full name begins with "teaselgate_".
type Definition struct {
	Name string
	Kind Kind
	Tags []string
	Help string
}

// The metrics of an instance.
var (
	Requests = Definition{
		"requests", Counter,
		[]string{"route", "outcome", "status"},
		"Requests of callers that ended. The outcome is `answered`, `broken` (cut in mid-answer), `cancelled` (the caller is gone) or that of the refusal: `not-run`, `unknown`, `ran`. The status is the HTTP status.",
	}
	RequestTime = Definition{
		"request_seconds", Histogram,
		[]string{"route"},
		"Time from a request's header to the end of its answer.",
	}
	FirstChunk = Definition{
		"first_chunk_seconds", Histogram,
		[]string{"route"},
		"Time from a request's header to the first chunk of a streamed answer, which holds the first token; the target is 0.77 s.",
	}
	ChunkGap = Definition{
		"chunk_gap_seconds", Histogram, nil,
		"Time between two chunks of a streamed answer; each holds a token, but for the last, which states the end. The target is 36 ms.",
	}
	InFlight = Definition{
		"requests_in_flight", Gauge, nil,
		"Requests that are being answered.",
	}
	Connections = Definition{
		"connections", Gauge, nil,
		"Open connections of callers; `limit.connections` bounds them.",
	}
	Events = Definition{
		"events", Counter,
		[]string{"number", "event"},
		"Events by kind; docs/EVENTS.md lists them. Kinds that did not occur are absent.",
	}
	Members = Definition{
		"members", Gauge,
		[]string{"state"},
		"Instances known, this one included, by state: live, leaving, suspect, gone.",
	}
	Revision = Definition{
		"rules_revision", Gauge, nil,
		"Revision of the rules in force; 0 before the first.",
	}
)

// The metrics of placing work. A pool that another instance dispatches shows 0 here.
var (
	CellWaiting = Definition{
		"cell_waiting", Gauge,
		[]string{"pool"},
		"Requests that wait at this instance's dispatcher for a place at the decode pool.",
	}
	CellUsed = Definition{
		"cell_used", Gauge,
		[]string{"pool"},
		"Slots of the decode pool that this instance's dispatcher has given out.",
	}
	CellSlots = Definition{
		"cell_slots", Gauge,
		[]string{"pool"},
		"Slots of the decode pool that this instance's dispatcher may give out: of working servers, as far as the time between tokens keeps its target.",
	}
)

// The metrics of the path between callers and backend servers, of the store and of what is believed.
var (
	RequestResults = Definition{
		"answers", Counter,
		[]string{"kind", "outcome"},
		"Requests by the kind of their route (`idempotent`, `once`, `streaming`, `none` before it is known) and how they ended: `done`, `over-rate` (429), `not-run` (other refusals), `failed` (502, it may have run), `late` (504), `cancelled` (the caller is gone, or the answer was cut).",
	}
	StageTime = Definition{
		"stage_seconds", Histogram,
		[]string{"stage"},
		"Time of the stages of requests: `queue` (until a place is given), `prefill`, `transfer` (from the request to the decode engine to the first event), `service` (one plain server, to the end of its answer). The time between events is `chunk_gap_seconds`.",
	}
	StoreCalls = Definition{
		"store_calls", Counter,
		[]string{"method", "result"},
		"Calls to the platform's store. The result is `ok`, `conflict`, `missing`, `history` (changes not kept any more), `down` or `unknown` (a write without an answer).",
	}
	StoreTime = Definition{
		"store_seconds", Histogram,
		[]string{"method"},
		"Time of calls to the platform's store, without those that wait for changes.",
	}
	Servers = Definition{
		"servers", Gauge,
		[]string{"duty", "state"},
		"Backend servers in force by duty (`plain`, `prefill`, `decode`) and state (`live`, `leaving`).",
	}
	StoreDataAge = Definition{
		"belief_age_seconds", Gauge,
		[]string{"belief"},
		"Age of what is believed: `store` (since this instance last heard the store), `fleet` (since any instance that is heard did).",
	}
	RetriesLeft = Definition{
		"retries_left", Gauge,
		[]string{"service"},
		"Repeats of requests that this instance may still send to a service, which its retry budget bounds.",
	}
	RateShare = Definition{
		"rate_share", Gauge, nil,
		"Part of each client account's rate that this instance's dispatcher may give out; 0 where it does not dispatch.",
	}
	LinesDropped = Definition{
		"log_lines_dropped", Counter, nil,
		"Lines of the log that were left out because its reader was too slow.",
	}
)

// Catalogue lists every metric, in the order of docs/METRICS.md.
var Catalogue = []Definition{
	Requests, RequestTime, FirstChunk, ChunkGap, InFlight, Connections, Events, Members, Revision,
	CellWaiting, CellUsed, CellSlots,
	RequestResults, StageTime, StoreCalls, StoreTime, Servers, StoreDataAge, RetriesLeft, RateShare, LinesDropped,
}
