package config

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"teaselgate/account"
	"teaselgate/platform"
	"teaselgate/rule"
)

// accountsAtDesignSize is the number of client accounts that the rules are designed for; each has two keys.
const accountsAtDesignSize = 35_000

// countingTransport counts calls to the platform and the bytes of the request and response bodies.
type countingTransport struct {
	next             http.RoundTripper
	calls            atomic.Int64
	bodyBytes        atomic.Int64
	largestBodyBytes atomic.Int64 // in bytes
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.calls.Add(1)
	t.count(req.ContentLength)
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	t.count(int64(len(text)))
	resp.Body = io.NopCloser(bytes.NewReader(text))
	return resp, nil
}

func (t *countingTransport) count(n int64) {
	t.bodyBytes.Add(n)
	t.largestBodyBytes.Store(max(t.largestBodyBytes.Load(), n))
}

func (t *countingTransport) reset() {
	t.calls.Store(0)
	t.bodyBytes.Store(0)
	t.largestBodyBytes.Store(0)
}

func (t *countingTransport) report(b *testing.B, name string) {
	b.ReportMetric(float64(t.calls.Load()), name+"-calls")
	b.ReportMetric(float64(t.bodyBytes.Load())/1000, name+"-KB")
}

func rulesAtDesignSize() *rule.Set {
	var text strings.Builder
	for i := range accountsAtDesignSize {
		fmt.Fprintf(&text, "- {account: dala-shop-%05d, rate: 1000, burst: 4000, weight: 1}   # aigerim 2026-11-02: shop in the village\n", i)
		for keyNumber := range 2 {
			hash := account.Hash(fmt.Sprint("secret ", i, keyNumber))
			fmt.Fprintf(&text, "- {key: %q, account: dala-shop-%05d}   # marat 2026-11-02: key %d of the shop\n", hash, i, keyNumber)
		}
	}
	set, _ := rule.Parse("scale", []byte(text.String()))
	return set
}

// BenchmarkChangeAtDesignSize measures the cost of one changed line among the rules at design size: the calls and bytes
// of the writer, of an instance that watches the platform, and of the reply to a peer. It also reports the cost of the
// first load. Only reading the change at the instance is timed.
func BenchmarkChangeAtDesignSize(b *testing.B) {
	server := newPlatformStandIn()
	client := newPlatformClient(server, neverCut)
	transport := &countingTransport{next: client.HTTP.Transport}
	client.HTTP.Transport = transport
	rules := rulesAtDesignSize()
	if _, err := NewWriter(client).Apply(b.Context(), ChangeRequest{Rules: rules, By: "a"}); err != nil {
		b.Fatal(err)
	}
	transport.reset()
	runtime.GC()
	f := NewFollower(client)
	if err := f.readOnce(b.Context()); err != nil {
		b.Fatal(err)
	}
	loadCalls, loadBytes, largest := transport.calls.Load(), transport.bodyBytes.Load(), transport.largestBodyBytes.Load()
	for n := range maxLogSteps { // fill the log of the head
		applyOneChange(b, client, n)
	}
	if err := f.readOnce(b.Context()); err != nil {
		b.Fatal(err)
	}
	n := 100
	for b.Loop() {
		b.StopTimer()
		n++
		previous := *f.Current()
		transport.reset()
		wanted := rulesWithOneChange(b, client, n)
		transport.reset()
		apply(b, client, wanted)
		transport.report(b, "write")
		transport.reset()
		b.StartTimer()
		if err := f.readOnce(b.Context()); err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		transport.report(b, "follow")
		var reply AfterReply
		if err := f.Receiver().After(AfterArgs{previous.Number}, &reply); err != nil {
			b.Fatal(err)
		}
		var wire bytes.Buffer
		if err := gob.NewEncoder(&wire).Encode(reply); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(wire.Len())/1000, "relay-KB")
		b.StartTimer()
	}
	b.ReportMetric(float64(loadCalls), "load-calls")
	b.ReportMetric(float64(loadBytes)/1000, "load-KB")
	b.ReportMetric(float64(largest)/1000, "largest-KB")
	b.ReportMetric(float64(len(f.Current().head.Parts)), "parts")
}

// applyOneChange applies a change of one line, whose value depends on n.
func applyOneChange(b *testing.B, client *platform.Client, n int) {
	b.Helper()
	apply(b, client, rulesWithOneChange(b, client, n))
}

// rulesWithOneChange returns the newest rules with one account changed, whose rate depends on n.
func rulesWithOneChange(b *testing.B, client *platform.Client, n int) *rule.Set {
	b.Helper()
	_, current, err := readCurrent(b.Context(), client)
	if err != nil {
		b.Fatal(err)
	}
	line, err := rule.ParseLine(fmt.Sprintf("{account: new-shop, rate: %d, burst: 4000}", n+1), "aigerim 2026-11-02: new shop")
	if err != nil {
		b.Fatal(err)
	}
	wanted, _, err := current.Rules.Apply([]rule.Difference{{Old: current.Rules.Find(line.Kind, line.Name), New: line}})
	if err != nil {
		b.Fatal(err)
	}
	return wanted
}

// apply makes rules the newest revision.
func apply(b *testing.B, client *platform.Client, rules *rule.Set) {
	b.Helper()
	if _, err := NewWriter(client).Apply(b.Context(), ChangeRequest{Rules: rules, By: "a"}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkLoad measures the load of all parts when an instance starts, and the heap that the rules take.
func BenchmarkLoad(b *testing.B) {
	client := newPlatformClient(newPlatformStandIn(), neverCut)
	if _, err := NewWriter(client).Apply(b.Context(), ChangeRequest{Rules: rulesAtDesignSize(), By: "a"}); err != nil {
		b.Fatal(err)
	}
	_, head, err := readHead(b.Context(), client)
	if err != nil {
		b.Fatal(err)
	}
	var revision *Revision
	before := heapBytes()
	for b.Loop() {
		if revision, err = loadRevision(context.Background(), head, nil, newPlatformPartReader(client)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB-held")
	runtime.KeepAlive(revision)
}

// heapBytes returns the bytes of live heap objects after garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
