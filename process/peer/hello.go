package peer

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// The versions of the protocol between hosts that this release speaks. Fields are
// added to messages without a new version; a new version is for changes that an
// earlier release would misread.
const (
	minProtocol = 1
	maxProtocol = 1
)

// helloMagic starts each connection.
const helloMagic = 0x715a6b74

// helloTimeout bounds the exchange of hellos, TLS included.
const helloTimeout = 3 * time.Second

// ErrProtocol reports a host whose release speaks no common protocol version.
var ErrProtocol = errors.New("no common protocol version")

// hello is the first message of both ends: magic, least and largest version.
type hello struct {
	Magic    uint32
	Min, Max uint16
}

// greet exchanges hellos and returns the largest version that both ends speak.
func greet(conn net.Conn, own hello) (uint16, error) {
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
		return 0, errors.Wrap(err, "hello")
	}
	var other hello
	if _, err := binary.Decode(buf[:], binary.BigEndian, &other); err != nil {
		return 0, err
	}
	if other.Magic != helloMagic {
		return 0, errors.Newf("hello begins with %#x, not with %#x", other.Magic, helloMagic)
	}
	version := min(own.Max, other.Max)
	if version < max(own.Min, other.Min) {
		return 0, errors.Wrapf(ErrProtocol, "own versions %d to %d, theirs %d to %d", own.Min, own.Max, other.Min, other.Max)
	}
	return version, conn.SetDeadline(time.Time{})
}

func ownHello() hello { return hello{Magic: helloMagic, Min: minProtocol, Max: maxProtocol} }
