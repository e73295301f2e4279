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
	concurrentReaders = 64
	openStreamTokens  = 30000                  // of each stream
	openStreamStep    = 200 * time.Millisecond // between tokens
)

// newTransport returns a transport that keeps an idle connection for each reader.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: concurrentReaders}
}

// BenchmarkRead compares idempotent reads through an instance with the same reads directly from the service.
func BenchmarkRead(bm *testing.B) {
	b := newTestbed(bm, 1)
	defer b.close()
	for _, target := range []struct{ name, address string }{
		{"direct", b.pool("service")[0].address},
		{"through", b.instances[0].address},
	} {
		bm.Run(target.name, func(bm *testing.B) {
			transport := newTransport()
			defer transport.CloseIdleConnections()
			bm.SetParallelism(concurrentReaders / runtime.GOMAXPROCS(0))
			bm.ReportAllocs()
			bm.RunParallel(func(p *testing.PB) {
				for p.Next() {
					readOnce(bm, b, transport, target.address, target.name == "through")
				}
			})
		})
	}
}

// BenchmarkReadAlone measures the same reads one at a time, for the latency that the instance adds.
func BenchmarkReadAlone(bm *testing.B) {
	b := newTestbed(bm, 1)
	defer b.close()
	for _, target := range []struct{ name, address string }{
		{"direct", b.pool("service")[0].address},
		{"through", b.instances[0].address},
	} {
		bm.Run(target.name, func(bm *testing.B) {
			transport := newTransport()
			defer transport.CloseIdleConnections()
			for bm.Loop() {
				readOnce(bm, b, transport, target.address, target.name == "through")
			}
		})
	}
}

func readOnce(bm *testing.B, b *testbed, transport *http.Transport, address string, withKey bool) {
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost,
		"http://"+address+"/weighings", strings.NewReader("leaf"))
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

// BenchmarkKeyedOrder measures the time and the platform calls of a request with an idempotency key.
func BenchmarkKeyedOrder(bm *testing.B) {
	b := newTestbed(bm, 1)
	defer b.close()
	before := b.platform.Calls()
	ids := make([]string, bm.N)
	for n := range ids {
		ids[n] = fmt.Sprintf("order-%d", n)
	}
	bm.ResetTimer()
	for _, id := range ids {
		if result := b.call(b.ctx, b.instances[0], kindOnceKeyed, id); result != resultWhole {
			bm.Fatalf("unexpected result %s", result)
		}
	}
	after := b.platform.Calls()
	writes := after["PUT"] + after["POST"] - before["PUT"] - before["POST"]
	bm.ReportMetric(float64(writes)/float64(bm.N), "writes/op")
	bm.ReportMetric(float64(after["GET"]-before["GET"])/float64(bm.N), "reads/op")
}

// BenchmarkOpenStreams measures the memory that an instance uses for each open stream: the memory in use with streams
// through an instance, less that with the same streams read directly from the engine.
func BenchmarkOpenStreams(bm *testing.B) {
	const open = 2000 // each takes four file descriptors
	viaInstance := openStreamsMemory(bm, open, true)
	direct := openStreamsMemory(bm, open, false)
	bm.ReportMetric(float64(viaInstance-direct)/open/1024, "KiB/stream")
	bm.ReportMetric(0, "ns/op")
}

// openStreamsMemory returns the memory that open streams take.
func openStreamsMemory(bm *testing.B, open int, viaInstance bool) int64 {
	b := newTestbed(bm, 1)
	defer b.close()
	for _, be := range b.pool("decode") {
		be.engine.Slots, be.engine.Pieces, be.engine.StepBase = open, 1<<30, openStreamStep
	}
	before := memoryInUse()
	ctx, stop := context.WithCancel(b.ctx)
	b.instances[0].handler.Engines.SilenceTimeout = time.Minute
	var readersDone, streamsOpened sync.WaitGroup
	semaphore := make(chan struct{}, concurrentReaders)
	for n := range open {
		semaphore <- struct{}{}
		streamsOpened.Add(1)
		started := sync.OnceFunc(func() {
			streamsOpened.Done()
			<-semaphore
		})
		readersDone.Go(func() {
			defer started()
			if viaInstance {
				b.readViaInstance(ctx, fmt.Sprint(n), started)
			} else {
				b.readDirect(ctx, fmt.Sprint(n), started)
			}
		})
	}
	streamsOpened.Wait()
	after := memoryInUse()
	stop()
	readersDone.Wait()
	return after - before
}

// readViaInstance reads a long stream through an instance until the context ends. It calls started when the stream has
// started.
func (b *testbed) readViaInstance(ctx context.Context, prompt string, started func()) {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, openStreamTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+b.instances[0].address+"/v1/completions", strings.NewReader(body))
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
	firstByte := make([]byte, 1)
	_, _ = resp.Body.Read(firstByte)
	started()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// readDirect reads the same stream directly from the engines.
func (b *testbed) readDirect(ctx context.Context, prompt string, started func()) {
	engines := b.instances[0].handler.Engines
	prefillAddress, decodeAddress := b.pool("prefill")[0].address, b.pool("decode")[0].address
	prefilled, err := engines.Prefill(ctx, prefillAddress, engine.PrefillRequest{Attempt: prompt, Prompt: prompt})
	if err != nil {
		b.t.Error(err)
		return
	}
	importReq := engine.ImportRequest{
		Attempt: prompt, Source: prefillAddress, Handle: prefilled.Handle, MaxTokens: openStreamTokens,
	}
	if _, err := engines.Import(ctx, decodeAddress, importReq); err != nil {
		b.t.Error(err)
		return
	}
	_ = engines.Decode(ctx, decodeAddress, engine.DecodeRequest{
		Attempt: prompt, MaxTokens: openStreamTokens,
	}, func(engine.Chunk) error {
		started()
		return nil
	})
}

// memoryInUse returns the bytes of heap and stack in use.
func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
