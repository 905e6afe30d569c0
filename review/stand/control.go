package stand

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// ReleaseStatus is the state of the newest build, with the names of the protocol page.
type ReleaseStatus struct {
	Release  int     `json:"release"`
	Tranche  int     `json:"tranche"`
	Mode     string  `json:"mode"`
	Exposure float64 `json:"exposure"`
	OldMs    float64 `json:"old_ms"`
}

// Control is the control service of a platform on which no release is under way: build 1 is live.
type Control struct {
	Address string
	server  *http.Server
}

// Live is the state that Control tells.
var Live = ReleaseStatus{Release: 1, Tranche: 0, Mode: "live", Exposure: 1, OldMs: 600000}

// NewControl starts the service.
func NewControl() (*Control, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Control{Address: listener.Addr().String()}
	c.server = &http.Server{Handler: http.HandlerFunc(serveControl), ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// Close ends the service.
func (c *Control) Close() { _ = c.server.Close() }

func serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/apis/fleet/feed":
		writeJSON(w, map[string]any{"type": "stage", "object": Live})
		for {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second): // a sign of life
				_, _ = fmt.Fprint(w, "{}\n")
				w.(http.Flusher).Flush()
			}
		}
	case "/apis/fleet/ballots":
		writeJSON(w, Live)
	default:
		http.NotFound(w, r)
	}
}
