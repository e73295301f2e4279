package instance_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgate/instance"
	"teaselgate/standin/caller"
)

// Times and bounds of the users' rule on limits, and the load of the tests.
const (
	limitContact  = 3 * time.Second // time that the rule gives all instances to learn of a limit
	limitLength   = 5 * time.Second // time with requests after that: longer than the rule's window
	limitInterval = 20 * time.Millisecond
	minLimitShare = 0.7 // part of its limit that a server gets while there are more requests
	limitRate     = 4.0
)

// Servers name limits, and the instances together must send them no more, whichever instance gets the requests. While an
// instance ends and another starts, too.
func TestServersGetNoMoreRequestsThanTheyTakeFromAllInstances(t *testing.T) {
	s := newStoreSite(t)
	addresses := &addressList{}
	var first *instance.Instance
	stopFirst := func() {}
	for n := range 3 {
		started, stop := s.startInstance(t, fmt.Sprintf("i%d", n))
		if n == 0 {
			first, stopFirst = started, stop
		}
		addresses.add(started.Address())
	}
	s.instance = first
	s.awaitConfiguration(t)
	for _, server := range s.servers {
		server.SetLimit(limitRate)
	}
	start := time.Now()
	var sending sync.WaitGroup
	sending.Go(func() { s.sendAll(t, addresses, start.Add(limitContact+limitLength)) })
	time.Sleep(limitContact)
	share := s.servers["s0"].ArrivalsSince(start)
	addresses.remove(first.Address())
	stopFirst()
	replacement, _ := s.startInstance(t, "i3")
	addresses.add(replacement.Address())
	sending.Wait()
	share = s.servers["s0"].ArrivalsSince(start) - share
	for _, server := range s.servers {
		for _, violation := range server.LimitViolations(limitContact, nil) {
			t.Error(violation)
		}
	}
	if want := limitRate * limitLength.Seconds(); float64(share) < minLimitShare*want {
		t.Errorf("the server got %d requests of the %.0f that it takes", share, want)
	}
}

// addressList is the list of the instances to which a balancer sends requests, in turn.
type addressList struct {
	mu   sync.Mutex
	list []string
	next int
}

func (a *addressList) add(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, address)
}

func (a *addressList) remove(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var kept []string
	for _, other := range a.list {
		if other != address {
			kept = append(kept, other)
		}
	}
	a.list = kept
}

func (a *addressList) pick() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	return a.list[a.next%len(a.list)]
}

// sendAll sends orders, and with each fourth a model request, to the instances in turn until the given time.
func (s *storeTestSite) sendAll(t *testing.T, addresses *addressList, until time.Time) {
	t.Helper()
	var sending sync.WaitGroup
	for n := 0; time.Now().Before(until); n++ {
		sending.Go(func() {
			call := caller.Request{ID: fmt.Sprint("o", n), Key: accountKey}
			if n%4 == 0 {
				s.sendTo(addresses.pick(), "/draft/1", caller.Request{
					ID: fmt.Sprint("d", n), Key: accountKey, PromptTokens: 100, MaxOutputTokens: 20,
				})
			}
			s.sendTo(addresses.pick(), "/order/1", call)
		})
		time.Sleep(limitInterval)
	}
	sending.Wait()
}

// sendTo sends a request to an instance and returns the status, or 0 without a response.
func (s *storeTestSite) sendTo(address, path string, call caller.Request) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = caller.Host
	call.Deadline = time.Second
	call.SetHeaders(req.Header)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
