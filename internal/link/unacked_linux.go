package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout sets TCP_USER_TIMEOUT, the time for which sent data may remain
// unacknowledged.
func setUnackedTimeout(_, _ string, conn syscall.RawConn) error {
	var optErr error
	err := conn.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
