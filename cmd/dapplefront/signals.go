package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// interruptContext returns a context that is canceled by an interrupt.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// terminationContext returns a context that is canceled by an interrupt or SIGTERM.
func terminationContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// awaitTermination waits for an interrupt or SIGTERM.
func awaitTermination() {
	ctx, stop := terminationContext()
	defer stop()
	<-ctx.Done()
}
