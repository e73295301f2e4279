package cli

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// errStandinCrashed is returned by a stand-in that a request has crashed.
var errStandinCrashed = errors.New("cli: a request crashed the stand-in")

// maxDeadlyBodyBytes is how much of a body is searched for the text that crashes a stand-in.
const maxDeadlyBodyBytes = 64 << 20

// deadlyRequests crashes a stand-in on requests with a text, as some requests crash the servers that run them.
type deadlyRequests struct {
	text  string // in the path or the body; empty for none
	after time.Duration
}

// addFlags adds the flags of a stand-in that requests can crash.
func (d *deadlyRequests) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&d.text, "deadly", "", "text in the path or body of requests that crash the stand-in")
	cmd.Flags().DurationVar(&d.after, "deadly-after", 0, "time from the arrival of such a request to the crash")
}

// handler returns a handler that calls crash on deadly requests, which are never answered, and serves all others.
func (d *deadlyRequests) handler(next http.Handler, crash func()) http.Handler {
	if d.text == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxDeadlyBodyBytes))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if strings.Contains(r.URL.Path+" "+string(body), d.text) {
			time.AfterFunc(d.after, crash)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}
