package caller

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// closedByPeer reports whether the other side has closed its direction of a connection,
// even if bytes before that have not been read. It returns false when that is not known.
func closedByPeer(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = control.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(polled, 0)
		closed = err == nil && n > 0 && polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}
