package testbed

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// anyLoopbackPort lets the system choose a port.
const anyLoopbackPort = "127.0.0.1:0"

// httpServer is an HTTP server on a socket with the goroutine that accepts its connections.
type httpServer struct {
	*http.Server
	served chan struct{} // closed when no more connections are accepted
}

// startHTTPServer serves a listener until stop or Shutdown, which close it.
func startHTTPServer(l net.Listener, handler http.Handler) *httpServer {
	s := &httpServer{
		Server: &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ConnContext: withTimedConn},
		served: make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			slog.Warn("testbed: server ended", "address", l.Addr(), "error", err)
		}
	}()
	return s
}

// timedConnKey is the context key of a request's connection, where it is timed.
type timedConnKey struct{}

func withTimedConn(ctx context.Context, conn net.Conn) context.Context {
	if timed, ok := conn.(*timedConn); ok {
		return context.WithValue(ctx, timedConnKey{}, timed)
	}
	return ctx
}

// lastReceivedFor is when the kernel received the last that was read of a request; now where its connection is not timed.
func lastReceivedFor(r *http.Request) time.Time {
	if timed, ok := r.Context().Value(timedConnKey{}).(*timedConn); ok {
		return timed.lastReceived()
	}
	return time.Now()
}

// stop closes the listener and all connections.
func (s *httpServer) stop() {
	closeAndLog("server", s)
	<-s.served
}

// closeAndLog closes something whose owner can't return the error. What is closed already is no error.
func closeAndLog(subject string, c io.Closer) {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("testbed: close", "subject", subject, "error", err)
	}
}
