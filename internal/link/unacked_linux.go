package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacked sets how long sent data may stay without acknowledgement.
func limitUnacked(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
