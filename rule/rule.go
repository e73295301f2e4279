// Package rule parses the rules file. Each line is one rule with a comment that says who asked for it and why. The
// package also compares sets of rules and applies differences to them.
package rule

import (
	"strings"
	"time"
)

// Kind names a kind of rule; it is the first key of the rule's line.
type Kind string

// The kinds of rules.
const (
	KindFleet    Kind = "fleet"
	KindOperator Kind = "operator"
	KindChange   Kind = "change"
	KindPool     Kind = "pool"
	KindModel    Kind = "model"
	KindServer   Kind = "server"
	KindRoute    Kind = "route"
	KindAccount  Kind = "account"
	KindKey      Kind = "key"
	KindEvacuate Kind = "evacuate"
)

// Fleet holds the settings common to all instances.
type Fleet struct {
	Fleet  string `yaml:"fleet"`  // name of the fleet
	Shards int    `yaml:"shards"` // number of allowance shards, a power of two
}

// Operator is a person who may ask for changes or approve them.
type Operator struct {
	Operator string `yaml:"operator"` // name of the operator
	Key      string `yaml:"key"`      // "ed25519:" and the public key in base64
}

// Change is a change rule: it says who may change the rules of a kind and how many others must approve.
type Change struct {
	Change    Kind     `yaml:"change"`    // kind of rule that the change rule protects
	By        []string `yaml:"by"`        // names of the operators who may change and approve
	Approvals int      `yaml:"approvals"` // number of other operators in By who must approve
}

// Duty is the stage or service that the servers of a pool run.
type Duty string

// The duties of a pool.
const (
	Prefill Duty = "prefill"
	Decode  Duty = "decode"
	Plain   Duty = "plain" // plain HTTP service
)

// Pool is a group of equal backend servers.
type Pool struct {
	Pool   string `yaml:"pool"` // name of the pool
	Duty   Duty   `yaml:"duty"`
	Slots  int    `yaml:"slots"`  // number of requests that one server runs concurrently
	Pieces int    `yaml:"pieces"` // number of KV cache pieces in the memory of one server
	Fenced bool   `yaml:"fenced"` // whether the servers reject orders with an old fencing number

	// Block is the number of tokens in one KV cache piece; 0 stands for the piece size of the project's own engines.
	Block int `yaml:"-"`
	// Strict means that a server without room rejects a request instead of queueing it. The dispatcher then
	// must not place requests on room that is only predicted to become free.
	Strict bool `yaml:"-"`
}

// Model is served by a prefill pool and a decode pool.
type Model struct {
	Model   string          `yaml:"model"`   // name of the model
	Prefill string          `yaml:"prefill"` // name of the prefill pool
	Decode  string          `yaml:"decode"`  // name of the decode pool
	Place   PlacementPolicy `yaml:"place"`
	Version string          `yaml:"version"` // version that engines are ordered to load; empty leaves it to them
	Adapter string          `yaml:"adapter"` // adapter that engines are ordered to load; empty for none
	Roles   RolePolicy      `yaml:"roles"`   // empty means RolesMove

	First   time.Duration `yaml:"first"`   // target for the time to the first token
	Between time.Duration `yaml:"between"` // target for the time between tokens
	Wait    time.Duration `yaml:"wait"`    // longest time that a summary request waits for a placement
}

// Default targets of a model.
const (
	DefaultFirstTokenTarget    = 770 * time.Millisecond
	DefaultTokenIntervalTarget = 36 * time.Millisecond
	DefaultSummaryWait         = 30 * time.Second
)

// RolePolicy says whether engines may be ordered to move from one of a model's pools to the other.
type RolePolicy string

// The role policies.
const (
	RolesMove RolePolicy = "move"
	RolesKeep RolePolicy = "keep"
)

// PlacementPolicy is the policy that picks the backend servers for a request.
type PlacementPolicy string

// The placement policies; all but PlacementCell are baselines to compare with.
const (
	PlacementCell        PlacementPolicy = "cell"  // by the dispatcher of the cell
	PlacementRoundRobin  PlacementPolicy = "robin" // each server in turn
	PlacementLeastLoaded PlacementPolicy = "least" // the server with the fewest requests
	PlacementEWMA        PlacementPolicy = "ewma"  // the better of two random servers by their peak EWMA of latency
)

// ServerState says whether a backend server accepts new requests.
type ServerState string

// The states of a backend server.
const (
	ServerLive    ServerState = "live"
	ServerLeaving ServerState = "leaving"
	// ServerEvacuated is the state of the servers of an evacuated availability zone. No server rule states it.
	ServerEvacuated ServerState = "evacuated"
)

// Server is one backend server.
type Server struct {
	Server string      `yaml:"server"` // name of the server
	Pool   string      `yaml:"pool"`   // name of its pool
	Zone   string      `yaml:"zone"`   // name of its availability zone
	At     string      `yaml:"at"`     // IP address and port
	State  ServerState `yaml:"state"`

	// Slots is the number of requests that the server runs at once; 0 if it states none.
	Slots int `yaml:"-" json:"-"`
	// ColdPeriod tells one cold period of the server from the next: what was learned about its speed before does not hold
	// in it. It is 0 if none is known.
	ColdPeriod int64 `yaml:"-" json:"-"`
}

// Evacuation requests that the servers of an availability zone get no new work.
type Evacuation struct {
	Evacuate string `yaml:"evacuate"` // name of the availability zone
}

// CallSemantics says whether the requests of a route may be sent to servers more than once.
type CallSemantics string

// The semantics of calls.
const (
	Idempotent CallSemantics = "idempotent"
	AtMostOnce CallSemantics = "once"
)

// Class is the priority class of a route's requests.
type Class string

// The classes of routes, by descending priority.
const (
	ClassOrder       Class = "order"
	ClassInteractive Class = "interactive"
	ClassSummary     Class = "summary"
	// ClassPatient is handled like ClassInteractive while the request can meet its target. After that it waits behind
	// all requests that can meet theirs. Only requests to services from the platform's configuration have this class;
	// the rules file does not allow it.
	ClassPatient Class = "patient"
)

// Open says whether the requests of a route need no key.
type Open string

// The values of Open.
const (
	OpenNo  Open = "no"
	OpenYes Open = "yes"
)

// OutagePolicy says what happens to at-most-once requests with an idempotency key while the platform is down.
type OutagePolicy string

// The outage policies.
const (
	OutageRefuse OutagePolicy = "refuse"
	OutagePass   OutagePolicy = "pass" // send the request to a server without claiming its key
)

// Route sends the requests under a path prefix to a model or to a pool of plain HTTP servers.
type Route struct {
	Route  string        `yaml:"route"` // name of the route
	Path   string        `yaml:"path"`  // path prefix
	Pool   string        `yaml:"pool"`  // name of the pool; empty if Model is set
	Model  string        `yaml:"model"` // name of the model; empty if Pool is set
	Calls  CallSemantics `yaml:"calls"`
	Open   Open          `yaml:"open"`
	Class  Class         `yaml:"class"`
	Outage OutagePolicy  `yaml:"outage"`
}

// Account is a client account with its rate and burst over all instances.
type Account struct {
	Account string `yaml:"account"` // name of the client account
	Rate    int64  `yaml:"rate"`    // tokens per second
	Burst   int64  `yaml:"burst"`   // tokens
	Weight  int    `yaml:"weight"`  // relative share in the queue
}

// Key binds the SHA-256 of a secret to a client account.
type Key struct {
	Key     string `yaml:"key"`     // "sha256:" and 64 hexadecimal digits
	Account string `yaml:"account"` // name of the client account
}

// Set is an immutable set of rules.
type Set struct {
	lines     []Line // sorted by kind and name
	fleet     Fleet
	operators map[string]Operator
	changes   map[Kind]Change
	pools     map[string]Pool
	models    map[string]Model
	servers   []Server
	routes    []Route
	accounts  map[string]Account
	keys      map[string]Key
	evacuated map[string]bool // by availability zone
}

// Contents are rules from another source than a rules file. NewSet does not check them.
type Contents struct {
	Pools    []Pool
	Models   []Model
	Servers  []Server
	Accounts []Account
	Keys     []Key
}

// NewSet returns a set of the given rules, which has no lines.
func NewSet(c Contents) *Set {
	s := newSet(nil)
	for _, p := range c.Pools {
		s.pools[p.Pool] = p
	}
	for _, m := range c.Models {
		s.models[m.Model] = m
	}
	for _, a := range c.Accounts {
		s.accounts[a.Account] = a
	}
	for _, k := range c.Keys {
		s.keys[k.Key] = k
	}
	s.servers = append(s.servers, c.Servers...)
	return s
}

// Lines returns the lines of all rules, sorted by kind and name.
func (s *Set) Lines() []Line { return s.lines }

// Fleet returns the settings common to all instances.
func (s *Set) Fleet() Fleet { return s.fleet }

// Pool returns the pool with the given name.
func (s *Set) Pool(name string) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Model returns the model with the given name.
func (s *Set) Model(name string) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Account returns the client account with the given name.
func (s *Set) Account(name string) (Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts returns all client accounts by name.
func (s *Set) Accounts() map[string]Account { return s.accounts }

// KeyAccount returns the name of the client account of a hashed key ("sha256:...").
func (s *Set) KeyAccount(hash string) (string, bool) {
	k, ok := s.keys[hash]
	return k.Account, ok
}

// Change returns the change rule for a kind.
func (s *Set) Change(kind Kind) (Change, bool) {
	c, ok := s.changes[kind]
	return c, ok
}

// Changes returns all change rules, by kind.
func (s *Set) Changes() map[Kind]Change { return s.changes }

// Operator returns the operator with the given name.
func (s *Set) Operator(name string) (Operator, bool) {
	o, ok := s.operators[name]
	return o, ok
}

// Servers returns the servers of the pool with the given name.
func (s *Set) Servers(pool string) []Server {
	var out []Server
	for _, server := range s.servers {
		if server.Pool == pool {
			out = append(out, server)
		}
	}
	return out
}

// Pools returns all pools by name.
func (s *Set) Pools() map[string]Pool { return s.pools }

// Models returns all models by name.
func (s *Set) Models() map[string]Model { return s.models }

// Route returns the route with the longest path prefix that matches.
func (s *Set) Route(path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range s.routes {
		if pathMatches(r.Path, path) && (!found || len(r.Path) > len(best.Path)) {
			best, found = r, true
		}
	}
	return best, found
}

// pathMatches reports whether path equals prefix or continues it with a new path segment.
func pathMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
