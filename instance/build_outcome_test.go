package instance

import (
	"fmt"
	"testing"
)

// TestEachTaskIsAssignedToOneInstance assigns engines to instances, and expects exactly one instance for
// each engine and about equal numbers of engines for the instances.
func TestEachTaskIsAssignedToOneInstance(t *testing.T) {
	const instances, engines = 9, 9000
	hashes := make([]uint64, instances)
	for n := range hashes {
		hashes[n] = hashName(fmt.Sprintf("i%d", n))
	}
	shares := make([]int, instances)
	for e := range engines {
		task, winners := hashName(fmt.Sprintf("10.0.%d.%d:8000", e/250, e%250)), 0
		for n, hash := range hashes {
			others := append(append([]uint64(nil), hashes[:n]...), hashes[n+1:]...)
			if ranksFirst(hash, task, others) {
				winners++
				shares[n]++
			}
		}
		if winners != 1 {
			t.Fatalf("unexpected number of instances for engine %d, got %d instead of 1", e, winners)
		}
	}
	for n, share := range shares {
		if share < engines/instances*8/10 || share > engines/instances*12/10 {
			t.Errorf("unexpected number of engines of instance %d, got %d instead of about %d", n, share, engines/instances)
		}
	}
}
