package event

import (
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Limits of the texts of an event, which callers and servers can influence: the ring and the log keep many of them.
const (
	maxRequestIDBytes = 128
	maxSuffixBytes    = 16 // of an ID that names an attempt of a request
	maxTextBytes      = 512
)

// ShortRequestID returns the ID of a request, or the beginning and a hash of an ID that is longer than events keep.
func ShortRequestID(id string) string {
	if len(id) <= maxRequestIDBytes {
		return id
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, id) // never fails
	return clip(id, maxRequestIDBytes/2) + "~" + strconv.FormatUint(h.Sum64(), 16)
}

// clipped returns the event with texts of limited length, which share no memory with longer ones.
func (e Event) clipped() Event {
	if len(e.Request) > maxRequestIDBytes+maxSuffixBytes {
		e.Request = ShortRequestID(e.Request)
	}
	for _, text := range []*string{&e.Account, &e.Server, &e.Detail} {
		if len(*text) > maxTextBytes {
			*text = clip(*text, maxTextBytes)
		}
	}
	return e
}

// clip returns a copy of the first bytes of a text, up to max, without a partial character at the end.
func clip(text string, maxBytes int) string {
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return strings.Clone(text[:maxBytes])
}
