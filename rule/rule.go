// Package rule reads the rules file: one rule a line, each with a comment on who asked for it and why.
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
)

// Fleet holds the settings common to all instances.
type Fleet struct {
	Fleet  string `yaml:"fleet"`
	Shards int    `yaml:"shards"` // number of allowance shards, a power of two
}

// Operator is a person who may ask for changes or approve them.
type Operator struct {
	Operator string `yaml:"operator"`
	Key      string `yaml:"key"` // "ed25519:" and the public key in base64
}

// Change says who may change a kind of rule, and how many others must approve.
type Change struct {
	Change    Kind     `yaml:"change"`
	By        []string `yaml:"by"`
	Approvals int      `yaml:"approvals"`
}

// Duty is what the servers of a pool do.
type Duty string

// The duties of a pool.
const (
	Prefill Duty = "prefill"
	Decode  Duty = "decode"
	Plain   Duty = "plain"
)

// Pool is a group of equal backend servers.
type Pool struct {
	Pool   string `yaml:"pool"`
	Duty   Duty   `yaml:"duty"`
	Slots  int    `yaml:"slots"`  // requests that one server runs at once
	Pieces int    `yaml:"pieces"` // pieces of KV cache memory in one server
	Fenced bool   `yaml:"fenced"` // whether the servers refuse orders with an old fencing number

	// Block is the number of tokens in one piece of memory; 0 means that of the project's own engines.
	Block int `yaml:"-"`
	// Strict says that a server without room rejects the request instead of letting it wait, so that room that is
	// only predicted must not be given away.
	Strict bool `yaml:"-"`
}

// Model joins a prefill and a decode pool.
type Model struct {
	Model   string `yaml:"model"`
	Prefill string `yaml:"prefill"`
	Decode  string `yaml:"decode"`
	Place   PlacementPolicy  `yaml:"place"`
	Version string `yaml:"version"` // that engines are ordered to load; empty leaves it to them
	Adapter string `yaml:"adapter"` // that engines are ordered to load; empty for none
	Roles   RolePolicy  `yaml:"roles"`   // empty means move

	First   time.Duration `yaml:"first"`   // target for the first token
	Between time.Duration `yaml:"between"` // target for the time between tokens
	Wait    time.Duration `yaml:"wait"`    // longest wait of a summary for a place
}

// Targets of a model that names none.
const (
	DefaultFirstTokenTarget   = 770 * time.Millisecond
	DefaultTokenIntervalTarget = 36 * time.Millisecond
	DefaultSummaryWait    = 30 * time.Second
)

// RolePolicy says whether engines may be ordered from one of a model's pools to the other.
type RolePolicy string

// The values of Roles.
const (
	RolesMove RolePolicy = "move"
	RolesKeep RolePolicy = "keep"
)

// PlacementPolicy is the policy that picks backend servers.
type PlacementPolicy string

// The placement policies; all but cell are baselines.
const (
	PlacementCell  PlacementPolicy = "cell"
	PlacementRoundRobin PlacementPolicy = "robin"
	PlacementLeastLoaded PlacementPolicy = "least"
	PlacementEWMA  PlacementPolicy = "ewma"
)

// ServerState tells whether a backend server takes new work.
type ServerState string

// The states of a backend server.
const (
	ServerLive    ServerState = "live"
	ServerLeaving ServerState = "leaving"
)

// Server is one backend server.
type Server struct {
	Server string `yaml:"server"`
	Pool   string `yaml:"pool"`
	Zone   string `yaml:"zone"`
	At     string `yaml:"at"` // IP number and port
	State  ServerState  `yaml:"state"`
}

// CallSemantics tells whether a call may be repeated.
type CallSemantics string

// The classes of calls.
const (
	Idempotent CallSemantics = "idempotent"
	AtMostOnce       CallSemantics = "once"
)

// Class orders the work of a route against other routes.
type Class string

// The classes of routes, most urgent first.
const (
	ClassOrder       Class = "order"
	ClassInteractive Class = "interactive"
	ClassSummary     Class = "summary"
	// ClassPatient is interactive as long as it can be on time, then waits behind all that can. Routes of the users'
	// platform have it; a rules file can't name it.
	ClassPatient Class = "patient"
)

// Open tells whether a route needs no key.
type Open string

// The values of Open.
const (
	OpenNo  Open = "no"
	OpenYes Open = "yes"
)

// OutagePolicy says what happens to keyed once calls while the platform is down.
type OutagePolicy string

// The values of Outage.
const (
	OutageRefuse OutagePolicy = "refuse"
	OutagePass   OutagePolicy = "pass"
)

// Route leads a path prefix to a model or to a pool of plain services.
type Route struct {
	Route  string `yaml:"route"`
	Path   string `yaml:"path"`
	Pool   string `yaml:"pool"`
	Model  string `yaml:"model"`
	Calls  CallSemantics  `yaml:"calls"`
	Open   Open   `yaml:"open"`
	Class  Class  `yaml:"class"`
	Outage OutagePolicy `yaml:"outage"`
}

// Account is a client account with its rate and burst over the whole fleet.
type Account struct {
	Account string `yaml:"account"`
	Rate    int64  `yaml:"rate"`   // tokens per second
	Burst   int64  `yaml:"burst"`  // tokens
	Weight  int    `yaml:"weight"` // share in the queue
}

// Key binds the SHA-256 of a secret to a client account.
type Key struct {
	Key     string `yaml:"key"` // "sha256:" and 64 hexadecimal digits
	Account string `yaml:"account"`
}

// Set is a checked set of rules. It is not changed once made.
type Set struct {
	lines     []Line // by kind and name
	fleet     Fleet
	operators map[string]Operator
	changes   map[Kind]Change
	pools     map[string]Pool
	models    map[string]Model
	servers   []Server
	routes    []Route
	accounts  map[string]Account
	keys      map[string]Key
}

// Contents are rules that come from elsewhere than a rules file and were checked there.
type Contents struct {
	Pools    []Pool
	Models   []Model
	Servers  []Server
	Accounts []Account
	Keys     []Key
}

// NewSet makes a set of rules without lines.
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

// Lines returns all rules as written, by kind and name.
func (s *Set) Lines() []Line { return s.lines }

// Fleet returns the settings common to all instances.
func (s *Set) Fleet() Fleet { return s.fleet }

// Pool finds a pool by name.
func (s *Set) Pool(name string) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Model finds a model by name.
func (s *Set) Model(name string) (Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Account finds a client account by name.
func (s *Set) Account(name string) (Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts returns all client accounts by name.
func (s *Set) Accounts() map[string]Account { return s.accounts }

// KeyAccount finds the client account of a hashed key ("sha256:...").
func (s *Set) KeyAccount(hash string) (string, bool) {
	k, ok := s.keys[hash]
	return k.Account, ok
}

// Change finds the rule that guards changes of a kind.
func (s *Set) Change(kind Kind) (Change, bool) {
	c, ok := s.changes[kind]
	return c, ok
}

// Changes returns the rules that guard changes, by kind.
func (s *Set) Changes() map[Kind]Change { return s.changes }

// Operator finds an operator by name.
func (s *Set) Operator(name string) (Operator, bool) {
	o, ok := s.operators[name]
	return o, ok
}

// Servers returns the servers of a pool by name.
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

// Route finds the route with the longest matching path prefix.
func (s *Set) Route(path string) (Route, bool) {
	best, found := Route{}, false
	for _, r := range s.routes {
		if pathMatches(r.Path, path) && (!found || len(r.Path) > len(best.Path)) {
			best, found = r, true
		}
	}
	return best, found
}

func pathMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
