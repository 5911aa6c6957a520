package origins

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/coltsfootspoke/coltsfootspoke/internal/fabric"
	"github.com/coltsfootspoke/coltsfootspoke/internal/link"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/clock"
	"github.com/coltsfootspoke/coltsfootspoke/pkg/rollout/origin"
)

// serveHolder starts a holder of records on the loopback address.
func serveHolder(b *testing.B) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var mu sync.Mutex
	log := origin.NewLog()
	mux := fabric.NewMux(nil)
	fabric.Handle(mux, MethodRecord, func(_ context.Context, r RecordRequest) (RecordReply, error) {
		mu.Lock()
		defer mu.Unlock()
		for _, record := range r.Records {
			log.Add(0, record)
		}
		return RecordReply{}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() { _ = link.NewServer(l, "", mux, zap.NewNop()).Serve(ctx) }()
	return l.Addr().String()
}

// BenchmarkRecord measures the record of one stream at three holders, with the bytes that
// an entry sends and receives for it.
func BenchmarkRecord(b *testing.B) {
	hosts := []string{serveHolder(b), serveHolder(b), serveHolder(b)}
	dialer := link.NewDialer("")
	c := NewClient(Options{Client: fabric.NewClient(dialer), Clock: clock.Boottime{}, Log: zap.NewNop(), Hosts: func() []string { return hosts }})
	for i := range b.N {
		c.Record(b.Context(), record(fmt.Sprintf("%016x", i)))
	}
	b.ReportMetric(float64(dialer.Bytes().Sent.Load()+dialer.Bytes().Received.Load())/float64(b.N), "bytes/stream")
}
