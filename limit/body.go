package limit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselgate/outcome"
	"teaselgate/shutdown"
)

// bodyKey is the key of a request's body in its context.
type bodyKey struct{}

// bodyReader reads a request body within its wait budget.
type bodyReader struct {
	io.ReadCloser
	handler    *Handler
	control    *http.ResponseController
	waitBudget *waitBudget
	isBuffered bool // whether what Read returns counts against Memory
	length     int64
	conn       *conn   // nil if no Listener accepted it, or if other requests use it
	holder     *Holder // memory of the body
	began      time.Time

	mu       sync.Mutex
	ended    bool // whether the request has ended
	endable  bool // whether the request may be refused to make room for others
	told     bool // whether the body was told to end
	whole    bool // whether the end of the body was read
	received int64
}

func (h *Handler) newBodyReader(c *conn, r *http.Request, control *http.ResponseController) *bodyReader {
	b := &bodyReader{
		ReadCloser: r.Body, handler: h, control: control, length: r.ContentLength, began: h.Now(),
		waitBudget: newWaitBudget(h.StallTimeout, h.MinBytesPerSecond),
	}
	if r.ProtoMajor == 1 {
		b.conn = c
	}
	b.holder = h.Memory.NewHolder(b.endEarly)
	return b
}

// end releases the memory of the body. From then on, reads fail without touching the connection, which may already
// serve the next request while an HTTP transport still reads this body.
func (b *bodyReader) end() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	b.holder.Release()
}

// endEarly makes the reading of the body fail with a refusal.
func (b *bodyReader) endEarly() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.endable {
		b.holder.Keep()
		return
	}
	b.told = true
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// setDeadline sets the deadline of the next read unless the request has ended, and reports whether it did.
func (b *bodyReader) setDeadline(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && !b.told {
		_ = b.control.SetReadDeadline(at)
	}
	return !b.ended
}

// wasTold reports whether the body was told to end.
func (b *bodyReader) wasTold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told
}

// rate returns the bytes a second at which the body arrives, and for how long it has been arriving.
func (b *bodyReader) rate(now time.Time) (float64, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	age := now.Sub(b.began)
	return float64(b.received) / max(age.Seconds(), minRateSeconds), age
}

// reserve takes memory for n bytes of a buffered body, and returns a refusal if there is none.
func (b *bodyReader) reserve(n int) error {
	b.mu.Lock()
	first := b.received == 0
	b.received += int64(n)
	ended := b.ended
	b.mu.Unlock()
	need := int64(n)
	if b.length > 0 {
		need = 0
		if first {
			need = b.length
		}
	}
	if !b.isBuffered || ended || need == 0 || b.holder.Take(need) {
		return nil
	}
	return b.handler.tooManyBodies()
}

func (h *Handler) tooManyBodies() *outcome.Refusal {
	return outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-bodies",
		"the instance holds too many request bodies").WithRetryAt(h.Now().Add(retryDelay))
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	start := b.handler.Now()
	if !b.setDeadline(b.waitBudget.deadline(start)) {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	b.waitBudget.spend(b.handler.Now().Sub(start), n)
	if errors.Is(err, io.EOF) {
		// The server keeps reading in the background to notice that the caller disconnects.
		b.setDeadline(time.Time{})
		b.mu.Lock()
		b.whole = true
		b.mu.Unlock()
	} else if err != nil && b.wasTold() {
		return n, b.handler.tooManyBodies()
	} else if err != nil {
		b.handler.recordStall(err, "body")
	}
	if refusal := b.reserve(n); refusal != nil {
		return n, refusal
	}
	return n, err
}

// closeUnread closes the connection if the body was not read to its end. net/http would keep it open for a while, so that the
// caller can read the response. It is called when the response was written.
func (b *bodyReader) closeUnread(header http.Header) {
	b.mu.Lock()
	whole := b.whole
	b.mu.Unlock()
	if whole || header.Get("Content-Length") == "" {
		return
	}
	conn, buffered, err := b.control.Hijack()
	if err != nil {
		return // HTTP/2
	}
	_ = buffered.Flush()
	conn.Close()
}

// Sizes of the blocks in which a body without a length is read.
const (
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 256 << 10
)

// ReadBody reads up to maxBytes of a request's body within the memory for bodies, until the context of the request ends. Until it
// returns, the request may be refused to make room for others. Its error is that of the body, or a refusal if there is no
// memory.
func ReadBody(ctx context.Context, body io.Reader, maxBytes int64) ([]byte, error) {
	b, ok := ctx.Value(bodyKey{}).(*bodyReader)
	if !ok {
		return io.ReadAll(io.LimitReader(body, maxBytes))
	}
	defer context.AfterFunc(ctx, b.endEarly)()
	b.isBuffered = false // counted here
	b.setEndable(true)
	var content []byte
	var err error
	if b.length >= 0 {
		content, err = b.readKnown(body, min(b.length, maxBytes))
	} else {
		content, err = b.readBlocks(body, maxBytes)
	}
	b.setEndable(false)
	if b.wasTold() && outcome.EndedByShutdown(ctx) {
		return nil, errLeaving.WithRetryAt(b.handler.Now().Add(shutdown.RetryAfter))
	}
	if b.wasTold() {
		return nil, b.handler.tooManyBodies()
	}
	return content, err
}

// setEndable sets whether the request may be refused to make room for others.
func (b *bodyReader) setEndable(endable bool) {
	b.mu.Lock()
	b.endable = endable
	b.mu.Unlock()
	b.holder.SetEndable(endable)
	if b.conn == nil {
		return
	}
	if endable {
		b.conn.setBody(b)
	} else {
		b.conn.setBody(nil)
	}
}

// readKnown reads n bytes of a body.
func (b *bodyReader) readKnown(body io.Reader, n int64) ([]byte, error) {
	if !b.holder.Take(n) {
		return nil, b.handler.tooManyBodies()
	}
	content := make([]byte, n)
	read, err := fill(body, content)
	if err == nil && n == b.length {
		_, err = body.Read(make([]byte, 1)) // the server needs to see the end of the body
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return content[:read], err
}

// readBlocks reads up to maxBytes of a body whose length is not known, without copying it as it grows.
func (b *bodyReader) readBlocks(body io.Reader, maxBytes int64) ([]byte, error) {
	var blocks [][]byte
	total := int64(0)
	for size := int64(firstBlockBytes); total < maxBytes; size = min(2*size, maxBlockBytes) {
		size = min(size, maxBytes-total)
		if !b.holder.Take(size) {
			return nil, b.handler.tooManyBodies()
		}
		block := make([]byte, size)
		n, err := fill(body, block)
		total += int64(n)
		blocks = append(blocks, block[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return b.join(blocks, total)
}

// fill reads until a buffer is full. Unlike io.ReadFull it returns the reader's own error.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var read int
		read, err = r.Read(p[n:])
		n += read
	}
	return n, err
}

// join returns the blocks of a body as one.
func (b *bodyReader) join(blocks [][]byte, total int64) ([]byte, error) {
	if len(blocks) == 1 {
		return blocks[0], nil
	}
	if !b.holder.Take(total) {
		return nil, b.handler.tooManyBodies()
	}
	content := make([]byte, 0, total)
	for _, block := range blocks {
		content = append(content, block...)
	}
	b.holder.Shrink(total)
	return content, nil
}
