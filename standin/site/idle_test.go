package site

import (
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// idleDuration is how long idle instances are measured.
const idleDuration = 20 * time.Second

// BenchmarkIdleInstance measures the cost of an instance without requests: processor time as a percentage of one core,
// heap, and calls to the platform store. The stand-in for the store runs in the same process and is included.
func BenchmarkIdleInstance(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for b.Loop() {
		heapBefore := heapBytes()
		s, err := Start(b.Context(), Config{Instances: 9, Zones: []string{"a", "b", "c"}, Log: log})
		if err != nil {
			b.Fatal(err)
		}
		<-time.After(idleDuration / 4) // until the instances have found each other
		cpuBefore, callsBefore := cpuTime(), totalCalls(s.Platform().Calls())
		<-time.After(idleDuration)
		instances := float64(len(s.Instances()))
		b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/idleDuration.Seconds()/instances, "%core/instance")
		b.ReportMetric(float64(heapBytes()-heapBefore)/(1<<20)/instances, "MiB/instance")
		b.ReportMetric(float64(totalCalls(s.Platform().Calls())-callsBefore)/idleDuration.Seconds()/instances,
			"calls/s/instance")
		if err := s.Stop(); err != nil {
			b.Fatal(err)
		}
	}
}

// totalCalls returns the number of calls of all methods.
func totalCalls(byMethod map[string]int) int {
	sum := 0
	for _, n := range byMethod {
		sum += n
	}
	return sum
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
