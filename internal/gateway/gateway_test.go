package gateway

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

func newTestGateway() *Gateway {
	return New(Options{Log: zap.NewNop(), Registry: prometheus.NewRegistry(), WindowMS: 1_000, Controls: func() []string { return nil }})
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	if newTestGateway().Ready() {
		t.Fatal("ready without a configuration")
	}
}

func TestMeterCountsByWindowAndAccount(t *testing.T) {
	m := newMeter("run", 1_000_000_000)
	m.count("a")
	m.count("a")
	m.count("")
	u := m.totals()
	if len(u.Windows) != 1 || u.Windows[m.currentWindow()]["a"] != 2 || len(u.Windows[m.currentWindow()]) != 1 {
		t.Fatalf("got totals %+v, want 2 requests of account a in the current window only", u)
	}
}

func TestResolveAndAccountForKeyFailWithoutConfiguration(t *testing.T) {
	g := newTestGateway()
	if _, _, err := g.Resolve(t.Context(), Inbound{Host: "h", Path: "/"}); err == nil {
		t.Fatal("Resolve succeeded without a configuration")
	}
	if _, err := g.AccountForKey(t.Context(), "k"); err == nil {
		t.Fatal("AccountForKey succeeded without a configuration")
	}
}
