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

const accountsAtDesignSize = 35_000

// countingTransport counts calls to the platform and the bytes of their bodies.
type countingTransport struct {
	next        http.RoundTripper
	calls       atomic.Int64
	bodyBytes   atomic.Int64
	largestBody atomic.Int64 // bytes of the largest body
}

// RoundTrip implements http.RoundTripper.
func (m *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	m.calls.Add(1)
	m.count(req.ContentLength)
	resp, err := m.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	m.count(int64(len(text)))
	resp.Body = io.NopCloser(bytes.NewReader(text))
	return resp, nil
}

func (m *countingTransport) count(n int64) {
	m.bodyBytes.Add(n)
	m.largestBody.Store(max(m.largestBody.Load(), n))
}

func (m *countingTransport) reset() { m.calls.Store(0); m.bodyBytes.Store(0); m.largestBody.Store(0) }

func (m *countingTransport) report(b *testing.B, name string) {
	b.ReportMetric(float64(m.calls.Load()), name+"-calls")
	b.ReportMetric(float64(m.bodyBytes.Load())/1000, name+"-KB")
}

func rulesAtDesignSize() *rule.Set {
	var text strings.Builder
	for i := range accountsAtDesignSize {
		fmt.Fprintf(&text, "- {account: dala-shop-%05d, rate: 1000, burst: 4000, weight: 1}   # aigerim 2026-11-02: shop in the village\n", i)
		for k := range 2 {
			hash := account.Hash(fmt.Sprint("secret ", i, k))
			fmt.Fprintf(&text, "- {key: %q, account: dala-shop-%05d}   # marat 2026-11-02: key %d of the shop\n", hash, i, k)
		}
	}
	set, _ := rule.Parse("scale", []byte(text.String()))
	return set
}

// BenchmarkChangeAtDesignSize measures what 35,000 accounts with two keys each cost: the first load, and one
// changed line at the writer, at an instance that watches and at one that a peer tells.
func BenchmarkChangeAtDesignSize(b *testing.B) {
	server := newPlatformStandIn()
	client := newClient(server, neverCut)
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
	loadCalls, loadBytes, largest := transport.calls.Load(), transport.bodyBytes.Load(), transport.largestBody.Load()
	for n := range maxLogSteps { // fill the log of steps
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

// applyOneChange applies one line as an operator does.
func applyOneChange(b *testing.B, client *platform.Client, n int) {
	b.Helper()
	apply(b, client, rulesWithOneChange(b, client, n))
}

// rulesWithOneChange returns the newest rules with one line changed.
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

func apply(b *testing.B, client *platform.Client, rules *rule.Set) {
	b.Helper()
	if _, err := NewWriter(client).Apply(b.Context(), ChangeRequest{Rules: rules, By: "a"}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkLoad measures reading all parts at the start of an instance.
func BenchmarkLoad(b *testing.B) {
	client := newClient(newPlatformStandIn(), neverCut)
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

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
