package entry

import (
	"net/http"
	"testing"
	"time"
)

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header            { return d.header }
func (discardWriter) Write(p []byte) (int, error)      { return len(p), nil }
func (discardWriter) WriteHeader(int)                  {}
func (discardWriter) FlushError() error                { return nil }
func (discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkWriteToken measures sending one token to a caller, without the connection.
func BenchmarkWriteToken(b *testing.B) {
	h := &Handler{Now: time.Now}
	q := &request{id: "0123456789abcdef01234567"}
	w := h.newCompletionWriter(discardWriter{header: make(http.Header)}, q,
		completionRequest{chat: true, stream: true, maxTokens: b.N})
	b.ReportAllocs()
	for b.Loop() {
		if err := w.writeToken("0badcafe-17 "); err != nil {
			b.Fatal(err)
		}
	}
}
