package caller

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// bytesWaiting reports whether a connection has bytes that have not been read. It returns false when that is not
// known.
func bytesWaiting(c net.Conn) bool {
	return polled(c, unix.POLLIN)&unix.POLLIN != 0 && !closedByPeer(c)
}

// closedByPeer reports whether the other side has closed its direction of a connection,
// even if bytes before that have not been read. It returns false when that is not known.
func closedByPeer(c net.Conn) bool {
	return polled(c, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// polled returns which of the events, and of those that are always reported, have occurred on a connection; none when
// that is not known.
func polled(c net.Conn, events int16) int16 {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	occurred := int16(0)
	_ = control.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			occurred = fds[0].Revents
		}
	})
	return occurred
}
