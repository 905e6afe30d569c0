package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// interruptContext returns a context that ends with an interrupt.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

// terminationContext returns a context that ends with an interrupt or SIGTERM.
func terminationContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// awaitTermination returns once an interrupt or SIGTERM has come.
func awaitTermination() {
	ctx, stop := terminationContext()
	defer stop()
	<-ctx.Done()
}
