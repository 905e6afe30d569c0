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

// interrupted returns a channel that is closed by an interrupt. It ignores other signals, because a supervisor may send
// SIGTERM more than once.
func interrupted(signals <-chan os.Signal) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		for received := range signals {
			if received == os.Interrupt {
				close(done)
				return
			}
		}
	}()
	return done
}
