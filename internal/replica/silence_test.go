package replica_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// silence says what is lost on connections that have fallen silent for good.
type silence int32

const (
	nothingLost silence = iota
	requestsLost
	repliesLost
	allLost
)

// silenceBound is the time after which members must work together again although all their
// open connections have fallen silent (contactMs of the users' specification).
const silenceBound = 3 * time.Second

// silenceableListener accepts connections that can fall silent without being closed.
type silenceableListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silenceableConn
}

// silenceableConn loses what is sent over it, in one direction or in both.
type silenceableConn struct {
	net.Conn
	lost atomic.Int32
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: conn}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// silence makes all connections that are open lose what is sent over them.
func (l *silenceableListener) silence(lost silence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.lost.Store(int32(lost))
	}
}

func (c *silenceableConn) loses(direction silence) bool {
	lost := silence(c.lost.Load())
	return lost == direction || lost == allLost
}

// Read implements net.Conn.
func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.loses(requestsLost) {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.loses(repliesLost) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// proposeAnywhere proposes a command until a member has committed it, and returns how long
// that took.
func (c *cluster) proposeAnywhere(command string) time.Duration {
	c.t.Helper()
	start := time.Now()
	c.eventually("commit of "+command, func() bool {
		for _, h := range c.hosts {
			if _, leads := h.Leading(0); !leads {
				continue
			}
			ctx, cancel := context.WithTimeout(c.t.Context(), silenceBound/4)
			_, err := h.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return time.Since(start)
}

// Guards against members that stay apart because connections between them are silent: only
// a timeout shows it, and the next call must not use another silent one.
func TestMembersWorkTogetherAfterConnectionsFellSilent(t *testing.T) {
	for name, lost := range map[string]silence{"requests lost": requestsLost, "replies lost": repliesLost, "all lost": allLost} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, 1<<20)
			c.proposeAnywhere("before")
			for _, l := range c.listeners {
				l.silence(lost)
			}
			took := c.proposeAnywhere("after")
			t.Logf("committed %v after the connections fell silent", took)
			if took > silenceBound {
				t.Errorf("committed %v after the connections fell silent, want %v at most", took, silenceBound)
			}
		})
	}
}
