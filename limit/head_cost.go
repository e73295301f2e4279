package limit

import (
	"bytes"
	"net/http"
)

// Memory that a request head takes, in bytes: net/http keeps each field as a key and a list of values, and a request that is
// forwarded holds a copy.
const (
	bytesPerHeadByte = 3
	bytesPerField    = 256
	bytesPerStream   = 16 << 10 // of a request over HTTP/2, which has a goroutine of its own
)

// readBufferBytes is the size of net/http's buffer for a connection: up to this much of what was read may not be parsed yet.
const readBufferBytes = 4 << 10

// minFieldBytes is the length of the shortest field, with its line end.
const minFieldBytes = 3

// headCost returns the memory that a part of a head takes.
func headCost(length, lines int64) int64 {
	return length*bytesPerHeadByte + min(lines, length/minFieldBytes+1)*bytesPerField
}

// countLines returns the number of line ends in a part of a head.
func countLines(p []byte) int64 { return int64(bytes.Count(p, []byte{'\n'})) }

// parsedHeadSize returns the length of a request's head, without its white space, and the number of its fields.
func parsedHeadSize(r *http.Request) (length, fields int64) {
	length = int64(len(r.Method) + len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			length += int64(len(name) + len(value))
			fields++
		}
	}
	return length, fields
}

// tail counts the bytes and lines that were read last, which net/http's buffer may still hold.
type tail struct {
	length, lines       int64 // of the newest reads
	oldLength, oldLines int64 // of the reads before, up to a buffer
}

// add counts what a read returned.
func (t *tail) add(p []byte) {
	if len(p) >= readBufferBytes {
		p = p[len(p)-readBufferBytes:]
	}
	t.length += int64(len(p))
	t.lines += countLines(p)
	if t.length >= readBufferBytes {
		t.oldLength, t.oldLines, t.length, t.lines = t.length, t.lines, 0, 0
	}
}

// cost returns the memory that heads take whose bytes the buffer may still hold.
func (t *tail) cost() int64 {
	return headCost(min(t.length+t.oldLength, readBufferBytes), t.lines+t.oldLines)
}
