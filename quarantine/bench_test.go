package quarantine

import (
	"bytes"
	"fmt"
	"testing"
	"time"
)

// The cost of each request while no server has crashed.
func BenchmarkRequestWithoutCrashes(b *testing.B) {
	l, body := NewList(), bytes.Repeat([]byte("x"), 800)
	for b.Loop() {
		parts := []string{RequestPart("dala", "POST shop.example/orders/1?full=yes", body)}
		if refusal, _ := l.Check(Caller{Account: "dala"}, parts); refusal != nil {
			b.Fatal("refused")
		}
		l.ReportSuccess("s1", parts)
	}
}

// The cost of an answer to a suspect while the evidence is full.
func BenchmarkAnswerToASuspect(b *testing.B) {
	l := fullList()
	parts := l.ledger.crashes[0].Parts
	for b.Loop() {
		l.ReportSuccess("s1", parts)
	}
}

// The cost of one more crash while the evidence is full.
func BenchmarkCrashWithFullEvidence(b *testing.B) {
	l := fullList()
	for n := 0; b.Loop(); n++ {
		l.ReportCrash(Crash{
			Request: fmt.Sprint("more", n), Server: fmt.Sprint("more", n/20), Parts: []string{RequestPart("x", fmt.Sprint(n), nil)},
		})
	}
}

// fullList returns a list with as many crashes as are kept, of twenty requests at each server.
func fullList() *List {
	l := NewList()
	now := time.Now()
	crashes := make([]Crash, 0, maxCrashes)
	for n := range maxCrashes {
		crashes = append(crashes, Crash{
			Request: fmt.Sprint("r", n), Server: fmt.Sprint("s", n/20), Parts: []string{RequestPart("x", fmt.Sprint(n), nil), "shared"},
			At: now.Add(time.Duration(n-maxCrashes) * time.Millisecond),
		})
	}
	l.merge(crashes, nil, false)
	return l
}
