// Package clock implements rollout.Clock.
package clock

import (
	"sync/atomic"
	"time"

	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout"
)

// System is the system clock. It reads the wall clock once and then uses the
// monotonic clock, so that it never goes backwards.
type System struct {
	start time.Time
}

// New returns a System clock.
func New() *System { return &System{start: time.Now()} }

// Now implements rollout.Clock.
func (c *System) Now() rollout.Millis {
	return rollout.Millis(c.start.UnixMilli() + time.Since(c.start).Milliseconds())
}

// Manual is a clock that tests control.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to start.
func NewManual(start rollout.Millis) *Manual {
	c := &Manual{}
	c.now.Store(int64(start))
	return c
}

// Advance moves the clock forward.
func (c *Manual) Advance(d rollout.Millis) { c.now.Add(int64(d)) }

// Now implements rollout.Clock.
func (c *Manual) Now() rollout.Millis { return rollout.Millis(c.now.Load()) }
