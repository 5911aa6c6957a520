// Command standin runs small stand-ins for the external systems that the service works with. Tests
// and the demo use it.
package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

const readHeaderTimeout = 5 * time.Second

type cli struct {
	Engine      engineCmd      `cmd:"" help:"A model engine."`
	Service     serviceCmd     `cmd:"" help:"A plain service."`
	WeightStore weightStoreCmd `cmd:"" help:"A rate-limited weight store." name:"weightstore"`
	Scorer      scorerCmd      `cmd:"" help:"A service that scores samples."`
	Platform    platformCmd    `cmd:"" help:"The platform: orders and usage reports."`
	Trainer     trainerCmd     `cmd:"" help:"A trainer that requests steps."`
}

func main() {
	var c cli
	kctx := kong.Parse(&c, kong.Name("standin"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	kctx.BindTo(ctx, (*context.Context)(nil))
	kctx.FatalIfErrorf(kctx.Run())
}

// serve serves HTTP until the context is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return err
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
