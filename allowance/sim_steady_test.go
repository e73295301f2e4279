package allowance

import (
	"testing"
	"time"
)

func TestSteadyFleetAdmitsAllRequests(t *testing.T) {
	s := newSim(1, 3, 4, fuzzRules()...)
	s.advance(3 * time.Second)
	for n := range 100 {
		s.nodes[n%3].request("dala", 20, 20, time.Second)
		s.advance(25 * time.Millisecond)
	}
	for shard := range 4 {
		a := s.assignments[shard].assignment
		if a.Primary.Name == "" || a.Successor.Name == "" || a.Primary.Zone == a.Successor.Zone {
			t.Errorf("unexpected primary or successor of shard %d: %v", shard, a)
		}
	}
	if s.refused["dala"] > 0 {
		t.Errorf("unexpected refused requests, got %d instead of 0", s.refused["dala"])
	}
}
