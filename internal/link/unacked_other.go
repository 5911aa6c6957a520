//go:build !linux

package link

import "syscall"

// setUnackedTimeout does nothing because TCP_USER_TIMEOUT is specific to Linux.
func setUnackedTimeout(_, _ string, _ syscall.RawConn) error { return nil }
