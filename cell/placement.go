// Package cell places requests on backend servers.
package cell

import (
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/rule"
)

var (
	namespace = errorx.NewNamespace("cell")
	noServer  = namespace.NewType("no_server")
	shed      = namespace.NewType("shed")

	// ErrNoServer says that no live server can take the request.
	ErrNoServer = noServer.NewWithNoMessage()
	// ErrShed says that the request could not have been answered in time.
	ErrShed = shed.NewWithNoMessage()
)

// Request is what a placement depends on.
type Request struct {
	ID           string
	Account      string
	Weight       int
	Class        rule.Class
	Model        rule.Model
	PromptTokens int
	MaxTokens    int
	Prefix       string // hash of the prompt's prefix; empty for short prompts
	Zone         string // availability zone of the instance that asks
	Exclude      []string
}

// Placement names the backend servers of one attempt.
type Placement struct {
	Prefill rule.Server
	Decode  rule.Server

	release func(Report)
}

// Report tells the placer how an attempt went.
type Report struct {
	Prefilled  time.Time // when the prefill answered; zero if it did not
	Imported   time.Time // when the transfer ended; zero if it did not
	Ended      time.Time
	Generated  int // tokens
	BadPrefill bool
	BadDecode  bool
}

// Release gives the places back.
func (p *Placement) Release(r Report) {
	if p.release != nil {
		p.release(r)
	}
}
