// Package processtest observes what processes that a test starts take of their machine.
package processtest

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	sampleInterval = 20 * time.Millisecond
	bytesPerKiB    = 1 << 10
	// tcpListen is the state of a listener in /proc/net/tcp.
	tcpListen = "0A"
)

// Usage is what a process takes.
type Usage struct {
	// ResidentBytes is the memory of the process that is in use.
	ResidentBytes int64
	// UnreadBytes is the length of what has arrived at its sockets and is not read.
	UnreadBytes int64
	// Descriptors is the number of open files and sockets.
	Descriptors int
}

// Bytes returns the memory and the bytes that have arrived and are not read.
func (u Usage) Bytes() int64 { return u.ResidentBytes + u.UnreadBytes }

// Watcher records the peak usage of a process.
type Watcher struct {
	pid int
	// addresses holds what the local addresses of its connections begin with, as in
	// /proc/net/tcp.
	addresses [][]byte
	cancel    context.CancelFunc
	done      chan struct{}
	// peak and err belong to the goroutine of the watcher until done is closed.
	peak Usage
	err  error
}

// Watch records the usage of a process until End is called. Its connections are those with
// one of the addresses, each an IPv4 address with or without a port.
func Watch(t *testing.T, pid int, addresses ...string) *Watcher {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	w := &Watcher{pid: pid, cancel: cancel, done: make(chan struct{})}
	for _, a := range addresses {
		w.addresses = append(w.addresses, encodeAddress(t, a))
	}
	go w.run(ctx)
	return w
}

// End returns the peak usage. It fails the test if the process has ended.
func (w *Watcher) End(t *testing.T) Usage {
	t.Helper()
	w.cancel()
	<-w.done
	if w.err != nil {
		t.Fatalf("process %d: %v", w.pid, w.err)
	}
	return w.peak
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		now, err := read(w.pid, w.addresses)
		if err != nil {
			w.err = err
			return
		}
		if now.Bytes() > w.peak.Bytes() {
			w.peak.ResidentBytes, w.peak.UnreadBytes = now.ResidentBytes, now.UnreadBytes
		}
		w.peak.Descriptors = max(w.peak.Descriptors, now.Descriptors)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func read(pid int, addresses [][]byte) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	_, line, ok := strings.Cut(string(status), "VmRSS:")
	if !ok {
		return u, fmt.Errorf("the process has ended")
	}
	kib, err := strconv.ParseInt(strings.Fields(line)[0], 10, 64)
	if err != nil {
		return u, err
	}
	u.ResidentBytes = kib * bytesPerKiB
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, err
	}
	u.Descriptors = len(files)
	u.UnreadBytes, err = unread(addresses)
	return u, err
}

// encodeAddress returns an address as in /proc/net/tcp, which has the byte order of the machine.
func encodeAddress(t *testing.T, address string) []byte {
	t.Helper()
	ip, port, hasPort := strings.Cut(address, ":")
	encoded := fmt.Appendf(nil, "%08X:", binary.NativeEndian.Uint32(net.ParseIP(ip).To4()))
	if !hasPort {
		return encoded
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(encoded, "%04X", n)
}

// unread returns the bytes that are not read from the connections with some addresses.
func unread(addresses [][]byte) (int64, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	var total int64
	for line := range bytes.Lines(table) {
		fields := bytes.Fields(line)
		if len(fields) < 5 || string(fields[3]) == tcpListen {
			continue
		}
		if !slices.ContainsFunc(addresses, func(a []byte) bool { return bytes.HasPrefix(fields[1], a) }) {
			continue
		}
		_, queue, _ := strings.Cut(string(fields[4]), ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}
