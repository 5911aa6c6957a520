package view_test

import (
	"testing"
	"time"
)

// Guards against requests refused by an old copy (CONFIG): an entry whose connection to
// a healthy leader went silent left that leader aside for 2 s.
func TestChangeIsInForceAfterConnectionToLeaderWentSilent(t *testing.T) {
	c := newControlHosts(t, 3)
	w := c.newWatcher(t)
	assertInForce(t, w, 1, applyBound)
	c.silence()
	c.version.Store(2)
	assertInForce(t, w, 2, applyBound)
}

// Guards against requests refused by an old copy (CONFIG): the pooled connection to a
// new leader was silent, and the entry left the new leader aside for 2 s.
func TestChangeIsInForceAfterPooledConnectionToNewLeaderWentSilent(t *testing.T) {
	c := newControlHosts(t, 3)
	w := c.newWatcher(t)
	assertInForce(t, w, 1, applyBound)
	// Each host leads for a moment, so that the watcher has pooled connections to all.
	for i := range c.proxies {
		c.leader.Store(int32(i))
		c.version.Add(1)
		assertInForce(t, w, c.version.Load(), applyBound)
	}
	c.silence()
	c.leader.Store(0)
	version := c.version.Add(1)
	assertInForce(t, w, version, applyBound)
}

// Guards against a copy that never becomes current (CONFIG at 300 hosts): a watcher that
// looked for the leader gave up after 0.4 s, less than a busy leader took to reply.
func TestSlowLeaderIsFollowed(t *testing.T) {
	c := newControlHosts(t, 1)
	c.delay = 600 * time.Millisecond
	w := c.newWatcher(t)
	assertInForce(t, w, 1, applyBound)
	c.version.Store(2)
	assertInForce(t, w, 2, applyBound)
}

// Guards against requests refused by an old copy (CONFIG): while the leader hangs, the
// others name it, and an entry must reach the next leader all the same.
func TestNextLeaderIsReachedWhileFormerLeaderHangs(t *testing.T) {
	c := newControlHosts(t, 3)
	w := c.newWatcher(t)
	assertInForce(t, w, 1, applyBound)
	c.proxies[0].hang()
	c.silence()
	time.Sleep(time.Second)
	c.leader.Store(1)
	c.version.Store(2)
	assertInForce(t, w, 2, applyBound)
}

func TestLeaderThatIsNoSeedIsReached(t *testing.T) {
	c := newControlHosts(t, 3)
	c.leader.Store(2)
	c.seeds = 1
	assertInForce(t, c.newWatcher(t), 1, applyBound)
}

// A cut of all connections must not leave more than a few calls pending, or an overloaded
// leader would be flooded by those that look for it.
func TestSearchAsksSlowLeaderFewTimes(t *testing.T) {
	c := newControlHosts(t, 1)
	c.delay = 2 * time.Second
	w := c.newWatcher(t)
	assertInForce(t, w, 1, 2*c.delay)
	const want = 3
	if got := c.searches.Load(); got > want {
		t.Fatalf("the leader got %d calls before its reply after %v, want %d at most", got, c.delay, want)
	}
}
