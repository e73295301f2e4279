package config

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"teaselgate/delay"
	"teaselgate/platform"
	"teaselgate/response"
)

// StatusPath is the path of an instance's status on its admin listener.
const StatusPath = "/status"

// Limits on collecting the status of instances.
const (
	statusTimeout          = 2 * time.Second // for the call to one instance
	maxParallelStatusCalls = 32
	maxStatusBytes         = 4 << 20                // of a response body
	statusPollInterval     = 100 * time.Millisecond // between two collections of WaitForRevision
)

// Status is the status that an instance reports to operators.
type Status struct {
	Instance  string     `json:"instance"`           // name of the instance
	Zone      string     `json:"zone"`               // availability zone of the instance
	Ready     bool       `json:"ready"`              // whether the instance accepts requests
	Connected bool       `json:"connected"`          // whether the removal of a key would reach the instance
	Revision  uint64     `json:"revision"`           // number of the revision in force, 0 if there is none
	Change    string     `json:"change,omitempty"`   // ID of the change that made that revision
	Rejected  *Rejection `json:"rejected,omitempty"` // last rejected revision, if newer than the one in force
	Members   []Member   `json:"members"`            // instances known to this one
	Fetching  *Fetching  `json:"fetching,omitempty"` // newer revision that the instance is fetching from others, if any

	Evacuated []string       `json:"evacuated,omitempty"` // availability zones whose evacuation is in force at the instance
	Running   map[string]int `json:"running,omitempty"`   // the instance's requests at backend servers, by availability zone
}

// Fetching is a revision that an instance is fetching from others.
type Fetching struct {
	Revision uint64        `json:"revision"`
	Parts    int           `json:"parts"`   // number of its parts
	Missing  int           `json:"missing"` // number of those that are missing
	Lag      time.Duration `json:"lag_ns"`  // time since the instance heard of it
}

// Member is an instance as the platform or another instance knows it.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Admin string `json:"admin"` // address of the admin listener
	State string `json:"state"`
}

// Status returns a status with the fields about the rules; the instance fills in the others.
func (f *Follower) Status() Status {
	s := Status{Rejected: f.Rejected()}
	if current := f.Current(); current != nil {
		s.Revision, s.Change = current.Number, current.ChangeID()
		if s.Rejected != nil && s.Rejected.Revision <= current.Number {
			s.Rejected = nil
		}
	}
	return s
}

// InstanceReport is the status of one instance, or the error of the call for it.
type InstanceReport struct {
	Member
	Status *Status `json:"status,omitempty"` // nil if the call failed
	Error  string  `json:"fault,omitempty"`  // error of the call
}

// lags reports whether the instance does not have a revision in force yet. An instance that does not respond counts
// only if it is live. A leaving instance that responds counts, since it still finishes its requests.
func (r InstanceReport) lags(revision uint64) bool {
	if r.Status == nil {
		return r.State == "live"
	}
	return r.Status.Revision < revision
}

// StatusCollector reads the status of instances. Its exported fields are set before use.
type StatusCollector struct {
	HTTP  *http.Client
	Token string // bearer token for the admin listeners
}

// NewStatusCollector returns a collector with its own connection pool.
func NewStatusCollector(token string) *StatusCollector {
	transport := response.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})
	return &StatusCollector{HTTP: &http.Client{Transport: transport}, Token: token}
}

// Collect reads the status of instances in parallel and returns the reports sorted by name.
func (s *StatusCollector) Collect(ctx context.Context, members []Member) []InstanceReport {
	reports := make([]InstanceReport, len(members))
	semaphore := make(chan struct{}, maxParallelStatusCalls)
	var calls sync.WaitGroup
	for i, m := range members {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			reports[i] = s.collectOne(ctx, m)
		})
	}
	calls.Wait()
	slices.SortFunc(reports, func(a, b InstanceReport) int { return strings.Compare(a.Name, b.Name) })
	return reports
}

// collectOne returns the report of one instance.
func (s *StatusCollector) collectOne(ctx context.Context, m Member) InstanceReport {
	status, err := s.fetchStatus(ctx, m.Admin)
	if err != nil {
		return InstanceReport{Member: m, Error: err.Error()}
	}
	return InstanceReport{Member: m, Status: status}
}

// fetchStatus reads the status of the instance with the given admin address.
func (s *StatusCollector) fetchStatus(ctx context.Context, admin string) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+StatusPath, nil)
	if err != nil {
		return nil, fmt.Errorf("config: invalid admin address %s: %w", admin, err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Token)
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("config: no response: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("config: response with status %d", resp.StatusCode)
	}
	var status Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status); err != nil {
		return nil, fmt.Errorf("config: unable to decode the status of %s: %w", admin, err)
	}
	return &status, nil
}

// Members returns the instances listed by the platform, and those known to the instances at the given admin addresses,
// without those that are gone, sorted by name. A nil client skips the platform. It fails only if a source failed and
// none named an instance.
func (s *StatusCollector) Members(ctx context.Context, p *platform.Client, admins []string) ([]Member, error) {
	known := make(map[string]Member)
	var lastErr error
	if p != nil {
		list, err := p.Instances(ctx)
		lastErr = err
		for _, i := range list {
			known[i.Name] = memberFromInstance(i)
		}
	}
	for _, admin := range admins {
		status, err := s.fetchStatus(ctx, admin)
		if err != nil {
			lastErr = err
			continue
		}
		for _, m := range status.Members {
			known[m.Name] = m
		}
	}
	if len(known) == 0 && lastErr != nil {
		return nil, fmt.Errorf("config: unable to find the instances: %w", lastErr)
	}
	out := make([]Member, 0, len(known))
	for _, m := range known {
		if m.State != "gone" {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

func memberFromInstance(i platform.Instance) Member {
	return Member{Name: i.Name, Zone: i.Zone, Admin: i.Admin, State: i.State}
}

// WaitForRevision collects the status of instances until none lags behind a revision or the context ends, and returns
// the last reports.
func (s *StatusCollector) WaitForRevision(ctx context.Context, members []Member, revision uint64) []InstanceReport {
	for {
		reports := s.Collect(ctx, members)
		if len(Lagging(reports, revision)) == 0 || ctx.Err() != nil {
			return reports
		}
		last := reports
		_ = delay.For(ctx, statusPollInterval)
		if ctx.Err() != nil {
			return last
		}
	}
}

// Lagging returns the names of the instances that do not have a revision in force yet, and of live ones that do not
// respond.
func Lagging(reports []InstanceReport, revision uint64) []string {
	var out []string
	for _, r := range reports {
		if r.lags(revision) {
			out = append(out, r.Name)
		}
	}
	return out
}

// NewestRevision reads the number of the newest revision from the platform store.
func NewestRevision(ctx context.Context, p *platform.Client) (uint64, error) {
	_, pointer, err := readPointer(ctx, p)
	return pointer.Revision, err
}
