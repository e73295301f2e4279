package peer

import (
	"encoding/gob"
	"io"
	"net/rpc"
)

// Clock stamps outgoing messages with a logical clock and advances it by the stamps of incoming ones. The zero value
// stamps messages with 0.
type Clock struct {
	Next    func() uint64 // returns the stamp of an outgoing message
	Observe func(uint64)  // takes the stamp of an incoming message
}

func (c Clock) next() uint64 {
	if c.Next == nil {
		return 0
	}
	return c.Next()
}

func (c Clock) observe(stamp uint64) {
	if c.Observe != nil {
		c.Observe(stamp)
	}
}

// requestHeader precedes the arguments of a call.
type requestHeader struct {
	Method string
	Seq    uint64
	Stamp  uint64
}

// responseHeader precedes a reply.
type responseHeader struct {
	Method string
	Seq    uint64
	Error  string
	Stamp  uint64
}

// codec encodes messages and their logical clock stamps with gob, for either side of a connection.
type codec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	in      *countingReader
	out     *countingWriter
	clock   Clock
	traffic Traffic
	method  string // method of the message that is being read
}

func newCodec(conn io.ReadWriteCloser, clock Clock, traffic Traffic) *codec {
	in, out := newCountingReader(conn), newCountingWriter(conn)
	return &codec{
		conn:    conn,
		decoder: gob.NewDecoder(in),
		encoder: gob.NewEncoder(out),
		in:      in,
		out:     out,
		clock:   clock,
		traffic: traffic,
	}
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// write sends a header and a body. It closes the connection after an error, because the other side can't find the next
// message after a partial one.
func (c *codec) write(method string, header, body any) error {
	defer func() { c.traffic.sent(method, c.out.takeCount()) }()
	err := c.encoder.Encode(header)
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

// readBody reads the body of a message, also of one whose rest is missing, and counts its bytes.
func (c *codec) readBody(body any) error {
	defer func() { c.traffic.received(c.method, c.in.takeCount()) }()
	return c.decoder.Decode(body)
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

// WriteRequest sends a call.
func (c clientCodec) WriteRequest(r *rpc.Request, args any) error {
	return c.write(r.ServiceMethod, requestHeader{Method: r.ServiceMethod, Seq: r.Seq, Stamp: c.clock.next()}, args)
}

// ReadResponseHeader reads the header of a reply.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var header responseHeader
	if err := c.decoder.Decode(&header); err != nil {
		return err
	}
	c.clock.observe(header.Stamp)
	c.method = header.Method
	r.ServiceMethod, r.Seq, r.Error = header.Method, header.Seq, header.Error
	return nil
}

// ReadResponseBody reads a reply. If reply is nil, it skips the reply.
func (c clientCodec) ReadResponseBody(reply any) error { return c.readBody(reply) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

// ReadRequestHeader reads the header of a call.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var header requestHeader
	if err := c.decoder.Decode(&header); err != nil {
		return err
	}
	c.clock.observe(header.Stamp)
	c.method = header.Method
	r.ServiceMethod, r.Seq = header.Method, header.Seq
	return nil
}

// ReadRequestBody reads the arguments of a call. If args is nil, it skips them.
func (c serverCodec) ReadRequestBody(args any) error { return c.readBody(args) }

// WriteResponse sends a reply.
func (c serverCodec) WriteResponse(r *rpc.Response, reply any) error {
	return c.write(r.ServiceMethod, responseHeader{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error, Stamp: c.clock.next()}, reply)
}
