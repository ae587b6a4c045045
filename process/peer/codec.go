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
	// writeTimeout bounds the sending of one message.
	writeTimeout = 5 * time.Second
	// idleTimeout is how long a connection may stand without a message.
	idleTimeout = 2 * time.Minute
)

// errTooLarge reports a message above MaxMessageBytes.
var errTooLarge = errors.Newf("message is larger than %d bytes", MaxMessageBytes)

// Traffic counts what one end sent and received over TCP. It is safe for concurrent use.
type Traffic struct {
	BytesSent, BytesReceived       atomic.Int64
	MessagesSent, MessagesReceived atomic.Int64
}

// codec encodes net/rpc messages as CBOR. One type serves both ends.
type codec struct {
	conn    net.Conn
	in      *budgetReader
	out     *bufio.Writer
	dec     *cbor.Decoder
	enc     *cbor.Encoder
	traffic *Traffic
	// slots bounds the calls that run at once on a server's connection; nil on a client's.
	slots chan struct{}
}

func newCodec(conn net.Conn, traffic *Traffic, inFlight int) *codec {
	in := &budgetReader{conn: conn}
	out := bufio.NewWriter(conn)
	c := &codec{conn: conn, in: in, out: out, dec: cbor.NewDecoder(in), enc: cbor.NewEncoder(out), traffic: traffic}
	if inFlight > 0 {
		c.slots = make(chan struct{}, inFlight)
	}
	return c
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.readBody(body) }

// ReadRequestHeader implements rpc.ServerCodec. It waits while the connection
// has as many calls running as it may, so that the sender waits in turn.
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
		_ = c.conn.Close() // a half-written reply cannot be continued
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
	return c.out.Flush()
}

func (c *codec) readHeader(header any) error {
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	c.in.left = MaxMessageBytes
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
		_ = c.conn.Close() // where the next message begins is not known
	}
	return err
}

// budgetReader fails once a message has used up its bytes.
type budgetReader struct {
	conn io.Reader
	left int
}

// Read implements io.Reader.
func (b *budgetReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	n, err := b.conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// countedConn counts the bytes of a connection, those of TLS included.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.BytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.BytesSent.Add(int64(n))
	return n, err
}
