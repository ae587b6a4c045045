package peer

import (
	"bufio"
	"io"
	"net/rpc"

	"github.com/fxamacker/cbor/v2"
)

// codec frames net/rpc messages as pairs of CBOR items: header, body. It serves
// both ends; it implements rpc.ClientCodec and rpc.ServerCodec.
type codec struct {
	conn io.Closer
	out  *bufio.Writer
	enc  *cbor.Encoder
	dec  *cbor.Decoder
}

func newCodec(conn io.ReadWriteCloser) *codec {
	out := bufio.NewWriter(conn)
	return &codec{
		conn: conn,
		out:  out,
		enc:  cbor.NewEncoder(out),
		dec:  cbor.NewDecoder(bufio.NewReader(conn)),
	}
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error { return c.readBody(body) }

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error { return c.dec.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *codec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

func (c *codec) write(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.out.Flush()
}

func (c *codec) readBody(body any) error {
	if body == nil {
		return c.dec.Skip()
	}
	return c.dec.Decode(body)
}
