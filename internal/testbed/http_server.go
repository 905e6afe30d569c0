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

// anyLoopbackPort is a listen address for which the system chooses the port.
const anyLoopbackPort = "127.0.0.1:0"

// httpServer is an HTTP server and the goroutine that accepts its connections.
type httpServer struct {
	*http.Server
	served chan struct{} // closed when no more connections are accepted
}

// startHTTPServer serves a listener until stop or Shutdown is called. Both close the listener.
func startHTTPServer(l net.Listener, handler http.Handler) *httpServer {
	s := &httpServer{
		Server: &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0), ConnContext: withTimedConn},
		served: make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			slog.Warn("testbed: HTTP server stopped unexpectedly", "address", l.Addr(), "error", err)
		}
	}()
	return s
}

// timedConnKey is the context key of a request's connection if that is a timedConn.
type timedConnKey struct{}

func withTimedConn(ctx context.Context, conn net.Conn) context.Context {
	if timed, ok := conn.(*timedConn); ok {
		return context.WithValue(ctx, timedConnKey{}, timed)
	}
	return ctx
}

// lastReceivedFor returns when the kernel received the last bytes that were read from a request's connection, or the current
// time if the connection is not a timedConn.
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

// closeAndLog closes c and logs an error, for callers that can't return it. It ignores net.ErrClosed.
func closeAndLog(subject string, c io.Closer) {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("testbed: close failed", "subject", subject, "error", err)
	}
}
