package callertest_test

import (
	"net"

	"golang.org/x/sys/unix"
)

// isClosedByPeer reports whether the peer has closed the connection, or it was closed here.
func isClosedByPeer(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err != nil || !open
}
