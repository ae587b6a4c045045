//go:build !linux

package caller

import "net"

// closedByPeer returns false: only on Linux is the close known before the bytes ahead of it
// are read.
func closedByPeer(net.Conn) bool { return false }

// bytesWaiting returns false: it is known only on Linux.
func bytesWaiting(net.Conn) bool { return false }
