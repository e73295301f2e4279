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
)

// StatusPath is the path of an instance's status at its admin listener.
const StatusPath = "/status"

// Limits of a survey.
const (
	statusTimeout          = 2 * time.Second // for one instance
	maxParallelStatusCalls = 32
	maxStatusBytes         = 4 << 20
	statusPollInterval     = 100 * time.Millisecond
)

// Status is what an instance tells operators of itself.
type Status struct {
	Instance  string     `json:"instance"`
	Zone      string     `json:"zone"`
	Ready     bool       `json:"ready"`     // whether it takes calls
	Connected bool       `json:"connected"` // whether a withdrawal of a key would reach it
	Revision  uint64     `json:"revision"`  // in force, 0 if none is
	Change    string     `json:"change,omitempty"`
	Rejected  *Rejection `json:"rejected,omitempty"` // newest revision that it refused
	Members   []Member   `json:"members"`            // instances that it knows
}

// Member is an instance as another one knows it.
type Member struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Admin string `json:"admin"`
	State string `json:"state"`
}

// Status returns what the follower knows; the instance adds the rest.
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

// InstanceReport is what a survey learned of one instance.
type InstanceReport struct {
	Member
	Status *Status `json:"status,omitempty"` // nil if it did not answer
	Error  string  `json:"fault,omitempty"`  // why it did not answer
}

// lags tells whether the instance does not have a revision in force yet. Leaving instances count
// as long as they answer, since they still finish their calls.
func (r InstanceReport) lags(revision uint64) bool {
	if r.Status == nil {
		return r.State == "live"
	}
	return r.Status.Revision < revision
}

// StatusCollector asks instances for their status. Its exported fields are set before use.
type StatusCollector struct {
	HTTP  *http.Client
	Token string // of the operators
}

// Collect asks all instances at once.
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

func (s *StatusCollector) collectOne(ctx context.Context, m Member) InstanceReport {
	status, err := s.fetchStatus(ctx, m.Admin)
	if err != nil {
		return InstanceReport{Member: m, Error: err.Error()}
	}
	return InstanceReport{Member: m, Status: status}
}

func (s *StatusCollector) fetchStatus(ctx context.Context, admin string) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+StatusPath, nil)
	if err != nil {
		return nil, fmt.Errorf("config: unable to ask %s: %w", admin, err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Token)
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("config: no answer: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("config: answer with status %d", resp.StatusCode)
	}
	var status Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status); err != nil {
		return nil, fmt.Errorf("config: unable to decode the status of %s: %w", admin, err)
	}
	return &status, nil
}

// Members lists the instances that the platform names, and those that the instances at the given
// admin addresses know, by name.
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

// WaitForRevision surveys the instances until none lags behind a revision or the context ends, and returns the last reports.
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

// Lagging lists the instances that do not have a revision in force yet or do not answer.
func Lagging(reports []InstanceReport, revision uint64) []string {
	var out []string
	for _, r := range reports {
		if r.lags(revision) {
			out = append(out, r.Name)
		}
	}
	return out
}

// NewestRevision reads the number of the newest revision from the platform.
func NewestRevision(ctx context.Context, p *platform.Client) (uint64, error) {
	_, at, err := readPointer(ctx, p)
	return at.Revision, err
}
