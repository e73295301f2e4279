package peer

import (
	"bufio"
	"io"
	"sync/atomic"
)

// Traffic is told how many bytes of a method's messages, with their headers, were sent or received. The zero value ignores
// them. Its functions are called from several goroutines at once.
type Traffic struct {
	Sent     func(method string, bytes int)
	Received func(method string, bytes int)
}

func (t Traffic) sent(method string, bytes int) {
	if t.Sent != nil {
		t.Sent(method, bytes)
	}
}

func (t Traffic) received(method string, bytes int) {
	if t.Received != nil {
		t.Received(method, bytes)
	}
}

// countingReader counts the bytes that are read from it. gob reads it without a further buffer, since it reads bytes.
type countingReader struct {
	*bufio.Reader
	total atomic.Int64 // bytes received from the connection
	taken int          // bytes read since takeCount
}

func newCountingReader(r io.Reader) *countingReader {
	c := new(countingReader)
	c.Reader = bufio.NewReader(readerFunc(func(p []byte) (int, error) {
		n, err := r.Read(p)
		c.total.Add(int64(n))
		return n, err
	}))
	return c
}

// readerFunc implements io.Reader.
type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Read reads and counts bytes.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.taken += n
	return n, err
}

// ReadByte reads and counts a byte.
func (c *countingReader) ReadByte() (byte, error) {
	b, err := c.Reader.ReadByte()
	if err == nil {
		c.taken++
	}
	return b, err
}

// takeCount returns the number of bytes read since the last call.
func (c *countingReader) takeCount() int {
	n := c.taken
	c.taken = 0
	return n
}

// countingWriter counts the bytes that are written to it.
type countingWriter struct {
	*bufio.Writer
	taken int // bytes written since takeCount
}

func newCountingWriter(w io.Writer) *countingWriter {
	return &countingWriter{Writer: bufio.NewWriter(w)}
}

// Write writes and counts bytes.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.Writer.Write(p)
	c.taken += n
	return n, err
}

// takeCount returns the number of bytes written since the last call.
func (c *countingWriter) takeCount() int {
	n := c.taken
	c.taken = 0
	return n
}
