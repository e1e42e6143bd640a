package rpc

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a net.Dialer's Control that sets the TCP user timeout. The kernel then
// ends a connection whose sent bytes stay unacknowledged for the given time, because an open
// connection can go silent without a reset.
func TCPUserTimeout(after time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// ReceiveBuffer returns a net.ListenConfig's Control that bounds what the kernel receives on each connection before it is read.
func ReceiveBuffer(size int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		})
		return errors.Join(err, failed)
	}
}
