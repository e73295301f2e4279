// Package config keeps the rules in force at an instance equal to the newest accepted revision.
package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/joomcode/errorx"

	"teaselgate/rule"
)

// Names of the platform's objects that hold the rules.
const (
	HeadKind = "config"
	HeadName = "head"
	PartKind = "part"
)

var (
	namespace = errorx.NewNamespace("config")
	refused   = namespace.NewType("refused")
	unknown   = namespace.NewType("unknown")

	// ErrRefused says that a change was not accepted.
	ErrRefused = refused.NewWithNoMessage()
	// ErrUnknown says that a change may or may not have been accepted.
	ErrUnknown = unknown.NewWithNoMessage()
)

// Head names the newest accepted revision of the rules.
type Head struct {
	Revision uint64   `json:"revision"` // only rises
	Change   string   `json:"change"`   // unique id of the change that made the revision
	Parts    []string `json:"parts"`    // digests of the parts, in order
}

// Part is a piece of the rules text, named by its digest.
type Part struct {
	Text string `json:"text"`
}

// Revision is a set of rules in force.
type Revision struct {
	Number uint64
	Rules  *rule.Set
}

func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
