package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}
