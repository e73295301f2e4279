package allowance

import (
	"testing"
	"time"
)

func TestSteadyFleetAdmits(t *testing.T) {
	s := newSim(1, 3, 4, fuzzRules()...)
	s.run(3 * time.Second)
	for n := range 100 {
		s.nodes[n%3].request("dala", 20, 20, time.Second)
		s.run(25 * time.Millisecond)
	}
	for shard := range 4 {
		o := s.objects[shard].shard
		if o.Primary.Name == "" || o.Successor.Name == "" || o.Primary.Zone == o.Successor.Zone {
			t.Errorf("unexpected keepers of shard %d: %v", shard, o)
		}
	}
	if s.refused["dala"] > 0 {
		t.Errorf("unexpected refusals, got %d instead of 0", s.refused["dala"])
	}
}
