package controller

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dialWebSocket opens a WebSocket without a library, with the handshake of RFC 6455.
func dialWebSocket(t *testing.T, url, query, origin string) (net.Conn, *bufio.Reader, int) {
	t.Helper()
	address := strings.TrimPrefix(url, "http://")
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "GET /v1/watch%s HTTP/1.1\r\nHost: %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"+
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n%s\r\n", query, address, origin)
	require.NoError(t, err)
	in := bufio.NewReader(c)
	got, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	require.NoError(t, got.Body.Close())
	return c, in, got.StatusCode
}

// readMessage reads one unfragmented text frame from the server.
func readMessage(t *testing.T, c net.Conn, in *bufio.Reader) (m struct {
	ID    uint64
	Event string
	Data  json.RawMessage
}) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	head := make([]byte, 2)
	_, err := io.ReadFull(in, head)
	require.NoError(t, err)
	require.Equal(t, byte(0x81), head[0], "an unfragmented text message expected")
	n := int(head[1])
	switch n {
	case 126:
		var x uint16
		require.NoError(t, binary.Read(in, binary.BigEndian, &x))
		n = int(x)
	case 127:
		var x uint64
		require.NoError(t, binary.Read(in, binary.BigEndian, &x))
		n = int(x)
	}
	text := make([]byte, n)
	_, err = io.ReadFull(in, text)
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(text, &m))
	return m
}

func TestWatch_SendsSameEventsOverWebSocket(t *testing.T) {
	d := loadDescription(t)
	g := startCluster(t, 1)
	u := g.urls[0]
	c, in, status := dialWebSocket(t, u, "", "")
	require.Equal(t, 101, status)
	require.Equal(t, "news", readMessage(t, c, in).Event)
	same := followWatch(t, u+"/v1/watch", "")
	request(t, "POST", u+"/v1/releases", `{"build":2}`)
	var ids []string
	last := uint64(0)
	for {
		m := readMessage(t, c, in)
		require.Empty(t, d.validate("asyncapi.yaml#/components/messages/"+m.Event+"/payload", m.Data))
		if m.Event == "bookmark" && len(ids) > 0 {
			break
		}
		if m.Event != "bookmark" {
			ids, last = append(ids, fmt.Sprint(m.ID, " ", m.Event)), m.ID
		}
	}
	require.Eventually(t, func() bool { return same.count("bookmark") > 0 && same.count("release") > 0 }, 10*time.Second, 5*time.Millisecond)
	same.mu.Lock()
	var received []string
	for i := range same.ids[1:] {
		if k := same.kinds[i+1]; k != "bookmark" {
			received = append(received, same.ids[i+1]+" "+k)
		}
	}
	same.mu.Unlock()
	require.Equal(t, received, ids)
	_ = c.Close()
	require.Eventually(t, func() bool {
		g.servers[0].mu.Lock()
		defer g.servers[0].mu.Unlock()
		return g.servers[0].watchers == 1
	}, 10*time.Second, 5*time.Millisecond, "a watcher that has disconnected must not be counted")
	request(t, "PATCH", u+"/v1/releases/2", `{"note":"while it was away"}`)
	c, in, status = dialWebSocket(t, u, fmt.Sprintf("?after=%d", last), "")
	require.Equal(t, 101, status)
	m := readMessage(t, c, in)
	require.Equal(t, "release", m.Event)
	require.Contains(t, string(m.Data), "while it was away")
	_, _, status = dialWebSocket(t, u, "", "Origin: https://elsewhere.example.org\r\n")
	require.Equal(t, 403, status)
}

func TestWatch_DisconnectsWatcherThatDoesNotRead(t *testing.T) {
	g := startCluster(t, 1)
	f := g.servers[0]
	f.mu.Lock()
	f.config.WriteTimeout = 200 * time.Millisecond
	f.mu.Unlock()
	c, err := net.Dial("tcp", strings.TrimPrefix(g.urls[0], "http://"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }() // the server closes the connection first
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	_, err = fmt.Fprintf(c, "GET /v1/watch HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	watchers := func(n int) func() bool {
		return func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.watchers == n }
	}
	require.Eventually(t, watchers(1), 10*time.Second, time.Millisecond)
	note := strings.Repeat("x", 60_000)
	for i := range 200 {
		status, _, _ := request(t, "PATCH", g.urls[0]+"/v1/releases/1", fmt.Sprintf(`{"note":"%d%s"}`, i, note))
		require.Equal(t, 200, status)
	}
	require.Eventually(t, watchers(0), 20*time.Second, 5*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, 1, f.slowWatchers)
}
