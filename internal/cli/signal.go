package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signalContext returns a context that is cancelled on SIGTERM or SIGINT.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
