package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// Clock carries a logical clock over calls. Both fields are nil where no clock is kept.
type Clock struct {
	Next    func() uint64 // stamp of a message that goes out
	Observe func(uint64)  // stamp of a message that came in
}

func (s Clock) next() uint64 {
	if s.Next == nil {
		return 0
	}
	return s.Next()
}

func (s Clock) observe(stamp uint64) {
	if s.Observe != nil {
		s.Observe(stamp)
	}
}

// requestHead stands before the arguments of each call.
type requestHead struct {
	Method string
	Seq    uint64
	Stamp  uint64
}

// responseHead stands before each reply.
type responseHead struct {
	Method string
	Seq    uint64
	Error  string
	Stamp  uint64
}

// codec is gob with stamps, for both sides of a connection.
type codec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	out     *bufio.Writer
	stamps  Clock
}

func newCodec(conn io.ReadWriteCloser, stamps Clock) *codec {
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, decoder: gob.NewDecoder(bufio.NewReader(conn)), encoder: gob.NewEncoder(out), out: out, stamps: stamps}
}

// Close ends the connection.
func (c *codec) Close() error { return c.conn.Close() }

// write sends a head and a body. A message that was sent in part would leave the other side astray.
func (c *codec) write(head, body any) error {
	err := c.encoder.Encode(head)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		c.conn.Close()
	}
	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

// WriteRequest sends a call.
func (c clientCodec) WriteRequest(r *rpc.Request, args any) error {
	return c.write(requestHead{Method: r.ServiceMethod, Seq: r.Seq, Stamp: c.stamps.next()}, args)
}

// ReadResponseHeader reads the head of a reply.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var head responseHead
	if err := c.decoder.Decode(&head); err != nil {
		return err
	}
	c.stamps.observe(head.Stamp)
	r.ServiceMethod, r.Seq, r.Error = head.Method, head.Seq, head.Error
	return nil
}

// ReadResponseBody reads a reply, or skips it.
func (c clientCodec) ReadResponseBody(reply any) error { return c.decoder.Decode(reply) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

// ReadRequestHeader reads the head of a call.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var head requestHead
	if err := c.decoder.Decode(&head); err != nil {
		return err
	}
	c.stamps.observe(head.Stamp)
	r.ServiceMethod, r.Seq = head.Method, head.Seq
	return nil
}

// ReadRequestBody reads the arguments of a call, or skips them.
func (c serverCodec) ReadRequestBody(args any) error { return c.decoder.Decode(args) }

// WriteResponse sends a reply.
func (c serverCodec) WriteResponse(r *rpc.Response, reply any) error {
	return c.write(responseHead{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error, Stamp: c.stamps.next()}, reply)
}
