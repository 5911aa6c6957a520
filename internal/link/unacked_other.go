//go:build !linux

package link

import "syscall"

// limitUnacked does nothing where the system has no such limit.
func limitUnacked(_, _ string, _ syscall.RawConn) error { return nil }
