package peer

import (
	"bufio"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxMessageBytes bounds one call or reply.
	MaxMessageBytes = 8 << 20
	// writeTimeout bounds the writing of one message.
	writeTimeout = 5 * time.Second
	// idleTimeout bounds the wait for the next message on a connection.
	idleTimeout = 2 * time.Minute
)

// errTooLarge reports a message above MaxMessageBytes.
var errTooLarge = errors.Newf("message is larger than %d bytes", MaxMessageBytes)

// Traffic counts the bytes and messages that a server or client sent and received over
// TCP. It is safe for concurrent use.
type Traffic struct {
	BytesSent, BytesReceived       atomic.Int64
	MessagesSent, MessagesReceived atomic.Int64
}

// codec encodes net/rpc messages as CBOR. It implements rpc.ClientCodec and
// rpc.ServerCodec.
type codec struct {
	conn    net.Conn
	reader  *limitedReader
	writer  *bufio.Writer
	dec     *cbor.Decoder
	enc     *cbor.Encoder
	traffic *Traffic
	// slots is a semaphore for the calls that run concurrently on a connection of a
	// server. It is nil on a client.
	slots chan struct{}
	// onMessage is called after each message with the method and the message's size. It is nil
	// on a server.
	onMessage func(method string, m MessageSize)
	// written counts the bytes encoded so far. received is the number of bytes decoded
	// before the current message, and receiving is its method.
	written   *byteCounter
	received  int
	receiving string
}

// MessageSize is the size of a call that was sent or of a reply that was received, in bytes
// without TLS.
type MessageSize struct{ Sent, Received int }

// byteCounter counts the bytes that pass to a writer.
type byteCounter struct {
	io.Writer
	bytes int
}

// Write implements io.Writer.
func (w *byteCounter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.bytes += n
	return n, err
}

func newCodec(conn net.Conn, traffic *Traffic, inFlight int) *codec {
	reader := &limitedReader{conn: conn}
	writer := bufio.NewWriter(conn)
	written := &byteCounter{Writer: writer}
	c := &codec{conn: conn, reader: reader, writer: writer, written: written, dec: cbor.NewDecoder(reader), enc: cbor.NewEncoder(written), traffic: traffic}
	if inFlight > 0 {
		c.slots = make(chan struct{}, inFlight)
	}
	return c
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error {
	before := c.written.bytes
	err := c.write(r, body)
	c.report(r.ServiceMethod, MessageSize{Sent: c.written.bytes - before})
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error {
	c.received = c.dec.NumBytesRead()
	err := c.readHeader(r)
	c.receiving = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error {
	err := c.readBody(body)
	c.report(c.receiving, MessageSize{Received: c.dec.NumBytesRead() - c.received})
	return err
}

func (c *codec) report(method string, m MessageSize) {
	if c.onMessage != nil {
		c.onMessage(method, m)
	}
}

// ReadRequestHeader implements rpc.ServerCodec. It blocks while the connection has the
// maximum number of running calls, which applies back-pressure to the sender.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	return c.readHeader(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	err := c.write(r, body)
	if err != nil {
		_ = c.conn.Close() // the stream is unusable after a partial reply
	}
	return err
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

func (c *codec) write(header, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	c.traffic.MessagesSent.Add(1)
	return c.writer.Flush()
}

func (c *codec) readHeader(header any) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	c.reader.remaining = MaxMessageBytes
	if err := c.dec.Decode(header); err != nil {
		return err
	}
	c.traffic.MessagesReceived.Add(1)
	return nil
}

func (c *codec) readBody(body any) error {
	if body == nil {
		return c.dec.Skip()
	}
	err := c.dec.Decode(body)
	if err != nil {
		_ = c.conn.Close() // the start of the next message cannot be found
	}
	return err
}

// limitedReader fails with errTooLarge once a message exceeds its byte limit.
type limitedReader struct {
	conn      io.Reader
	remaining int
}

// Read implements io.Reader.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := b.conn.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// countingConn counts the bytes of a connection, including the TLS overhead.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(int64(n))
	return n, err
}
