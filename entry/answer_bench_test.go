package entry

import (
	"net/http"
	"testing"
	"time"
)

// discard is a caller that takes everything.
type discard struct{ header http.Header }

func (d discard) Header() http.Header            { return d.header }
func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) WriteHeader(int)                  {}
func (discard) FlushError() error                { return nil }
func (discard) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkToken gives the cost of one token sent to a caller, without its connection.
func BenchmarkToken(b *testing.B) {
	h := &Handler{Now: time.Now}
	c := &call{id: "0123456789abcdef01234567"}
	a := h.newAnswer(discard{header: make(http.Header)}, c, completion{chat: true, stream: true, maxTokens: b.N})
	b.ReportAllocs()
	for b.Loop() {
		if err := a.token("0badcafe-17 "); err != nil {
			b.Fatal(err)
		}
	}
}
