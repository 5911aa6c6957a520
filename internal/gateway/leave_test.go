package gateway

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

func newEntry() *Gateway {
	return New(Options{Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, Controls: func() []string { return nil }})
}

func TestEntryWithoutConfigurationIsNotReady(t *testing.T) {
	if newEntry().Ready() {
		t.Fatal("ready")
	}
}

func TestLeavingEntryIsNotReadyAndClosesOnce(t *testing.T) {
	g := newEntry()
	closed := 0
	g.Drain(t.Context(), 0, func(context.Context) error {
		if g.Ready() || !g.Draining() {
			t.Error("still takes callers while it closes")
		}
		closed++
		return nil
	})
	if closed != 1 {
		t.Fatalf("closed %d times", closed)
	}
}

func TestMeterSumsByWindowAndAccount(t *testing.T) {
	m := newMeter("run", 1_000_000_000)
	m.count("a")
	m.count("a")
	m.count("")
	u := m.totals()
	if len(u.Windows) != 1 || u.Windows[m.now()]["a"] != 2 || len(u.Windows[m.now()]) != 1 {
		t.Fatalf("totals %+v", u)
	}
}

func TestRequestsWithoutConfigurationAreRefused(t *testing.T) {
	g := newEntry()
	if _, _, err := g.Resolve(Inbound{Host: "h", Path: "/"}); err == nil {
		t.Fatal("resolved")
	}
	if _, err := g.AccountForKey("k"); err == nil {
		t.Fatal("a key is known")
	}
}
