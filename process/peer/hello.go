package peer

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The protocol versions between hosts that this release supports. Adding a field to a
// message needs no new version; a change that an earlier release would misread does.
const (
	minProtocol = 1
	maxProtocol = 1
)

// helloMagic is the first field of the hello, which identifies the protocol.
const helloMagic = 0x715a6b74

// helloTimeout bounds the TLS handshake and the exchange of hellos together.
const helloTimeout = 3 * time.Second

// ErrProtocol reports a host with which this one shares no protocol version.
var ErrProtocol = errors.New("no common protocol version")

// hello is the first message of both ends: the magic number and the lowest and highest
// supported protocol version.
type hello struct {
	Magic    uint32
	Min, Max uint16
}

// exchangeHellos sends and receives a hello and returns the highest version that both
// ends support.
func exchangeHellos(conn net.Conn, own hello) (uint16, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return 0, err
	}
	var buf [8]byte
	if _, err := binary.Encode(buf[:], binary.BigEndian, own); err != nil {
		return 0, err
	}
	if _, err := conn.Write(buf[:]); err != nil {
		return 0, err
	}
	if _, err := io.ReadFull(conn, buf[:]); err != nil {
		return 0, errors.Wrap(err, "read hello")
	}
	var other hello
	if _, err := binary.Decode(buf[:], binary.BigEndian, &other); err != nil {
		return 0, err
	}
	if other.Magic != helloMagic {
		return 0, errors.Newf("hello has magic %#x, want %#x", other.Magic, helloMagic)
	}
	version := min(own.Max, other.Max)
	if version < max(own.Min, other.Min) {
		return 0, errors.Wrapf(ErrProtocol, "own versions %d to %d, peer versions %d to %d", own.Min, own.Max, other.Min, other.Max)
	}
	return version, conn.SetDeadline(time.Time{})
}

func ownHello() hello { return hello{Magic: helloMagic, Min: minProtocol, Max: maxProtocol} }
