package outcome_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/engine"
)

// Sizes of the benchmarks.
const (
	readers             = 64 // callers at once
	tokensOfOpenStreams = 30000
	stepOfOpenStreams   = 200 * time.Millisecond
)

func manyConnections() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: readers}
}

// BenchmarkRead compares an idempotent read through one instance with the same read at the stand-in itself.
func BenchmarkRead(bm *testing.B) {
	b := newBench(bm, 1)
	defer b.close()
	for _, way := range []struct{ name, at string }{
		{"direct", b.pool("service")[0].at},
		{"through", b.nodes[0].at},
	} {
		bm.Run(way.name, func(bm *testing.B) {
			transport := manyConnections()
			defer transport.CloseIdleConnections()
			bm.SetParallelism(readers / runtime.GOMAXPROCS(0))
			bm.ReportAllocs()
			bm.RunParallel(func(p *testing.PB) {
				for p.Next() {
					readOnce(bm, b, transport, way.at, way.name == "through")
				}
			})
		})
	}
}

// BenchmarkReadAlone gives the time of one read at a time, for the latency that the instance adds.
func BenchmarkReadAlone(bm *testing.B) {
	b := newBench(bm, 1)
	defer b.close()
	for _, way := range []struct{ name, at string }{
		{"direct", b.pool("service")[0].at},
		{"through", b.nodes[0].at},
	} {
		bm.Run(way.name, func(bm *testing.B) {
			transport := manyConnections()
			defer transport.CloseIdleConnections()
			for bm.Loop() {
				readOnce(bm, b, transport, way.at, way.name == "through")
			}
		})
	}
}

func readOnce(bm *testing.B, b *bench, transport *http.Transport, at string, withKey bool) {
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+at+"/weighings", strings.NewReader("leaf"))
	if err != nil {
		bm.Error(err)
		return
	}
	if withKey {
		req.Header.Set("Authorization", "Bearer "+b.key)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		bm.Error(err)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		bm.Errorf("unexpected status %d, error %v", resp.StatusCode, err)
	}
	resp.Body.Close()
}

// BenchmarkKeyedOrder gives the platform's calls and the time of one order with an idempotency key.
func BenchmarkKeyedOrder(bm *testing.B) {
	b := newBench(bm, 1)
	defer b.close()
	before := b.platform.Calls()
	ids := make([]string, bm.N)
	for n := range ids {
		ids[n] = fmt.Sprintf("order-%d", n)
	}
	bm.ResetTimer()
	for _, id := range ids {
		if saw := b.call(b.ctx, b.nodes[0], keyed, id); saw != sawWhole {
			bm.Fatalf("unexpected answer %s", saw)
		}
	}
	after := b.platform.Calls()
	writes := after["PUT"] + after["POST"] - before["PUT"] - before["POST"]
	bm.ReportMetric(float64(writes)/float64(bm.N), "writes/op")
	bm.ReportMetric(float64(after["GET"]-before["GET"])/float64(bm.N), "reads/op")
}

// BenchmarkOpenStreams gives the memory that an instance holds for each open stream: that of streams through an
// instance, less that of the same streams read from the engine's stand-in directly.
func BenchmarkOpenStreams(bm *testing.B) {
	const open = 2000 // four file descriptors each
	through := memoryOf(bm, open, true)
	direct := memoryOf(bm, open, false)
	bm.ReportMetric(float64(through-direct)/open/1024, "KiB/stream")
	bm.ReportMetric(0, "ns/op")
}

func memoryOf(bm *testing.B, open int, through bool) int64 {
	b := newBench(bm, 1)
	defer b.close()
	for _, be := range b.pool("decode") {
		be.engine.Slots, be.engine.Pieces, be.engine.StepBase = open, 1<<30, stepOfOpenStreams
	}
	before := inUse()
	ctx, stop := context.WithCancel(b.ctx)
	b.nodes[0].handler.Engines.SilenceTimeout = time.Minute
	var reading, opened sync.WaitGroup
	slots := make(chan struct{}, readers)
	for n := range open {
		slots <- struct{}{}
		opened.Add(1)
		begun := sync.OnceFunc(func() {
			opened.Done()
			<-slots
		})
		reading.Go(func() {
			defer begun()
			if through {
				b.readThrough(ctx, fmt.Sprint(n), begun)
			} else {
				b.readDirect(ctx, fmt.Sprint(n), begun)
			}
		})
	}
	opened.Wait()
	after := inUse()
	stop()
	reading.Wait()
	return after - before
}

// readThrough reads a long stream of an instance until the context ends.
func (b *bench) readThrough(ctx context.Context, prompt string, begun func()) {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokensOfOpenStreams)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.nodes[0].at+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		b.t.Error(err)
		return
	}
	defer resp.Body.Close()
	line := make([]byte, 1)
	_, _ = resp.Body.Read(line)
	begun()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// readDirect reads the same stream from the engines.
func (b *bench) readDirect(ctx context.Context, prompt string, begun func()) {
	engines := b.nodes[0].handler.Engines
	from, to := b.pool("prefill")[0].at, b.pool("decode")[0].at
	prefilled, err := engines.Prefill(ctx, from, engine.PrefillRequest{Attempt: prompt, Prompt: prompt})
	if err != nil {
		b.t.Error(err)
		return
	}
	m := engine.ImportRequest{Attempt: prompt, Source: from, Handle: prefilled.Handle, MaxTokens: tokensOfOpenStreams}
	if _, err := engines.Import(ctx, to, m); err != nil {
		b.t.Error(err)
		return
	}
	_ = engines.Decode(ctx, to, engine.DecodeRequest{Attempt: prompt, MaxTokens: tokensOfOpenStreams}, func(engine.Chunk) error {
		begun()
		return nil
	})
}

func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
