package gossip

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func TestSocket_DropsLongMessagesAndMessagesFromUnknownAddresses(t *testing.T) {
	addresses := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	received := make(chan string, 10)
	a, err := Open(Config{Rank: 0, MaxBytes: 16, Addresses: addresses}, func(rank int, body string) {
		received <- string(rune('0'+rank)) + body
	})
	require.NoError(t, err)
	defer a.Close()
	b, err := Open(Config{Rank: 1, MaxBytes: 64, Addresses: addresses}, func(int, string) {})
	require.NoError(t, err)
	defer b.Close()

	unknown, err := net.Dial("udp", addresses[0])
	require.NoError(t, err)
	defer func() { _ = unknown.Close() }()
	_, err = unknown.Write([]byte("stranger"))
	require.NoError(t, err)
	b.Send(0, strings.Repeat("x", 17))
	require.Eventually(t, func() bool { return a.Dropped() == 2 }, 10*time.Second, time.Millisecond)
	b.Send(Broadcast, "word")
	require.Equal(t, "1word", <-received)
	b.Send(2, "nobody listens there")
	b.Send(0, "more")
	require.Equal(t, "1more", <-received)
}

func TestOpen_RejectsInvalidAddresses(t *testing.T) {
	_, err := Open(Config{Rank: 0, MaxBytes: 16, Addresses: []string{"here:1"}}, nil)
	require.ErrorContains(t, err, `"here:1"`)
	_, err = Open(Config{Rank: 3, MaxBytes: 16, Addresses: []string{"127.0.0.1:1"}}, nil)
	require.ErrorContains(t, err, "rank 3")
}
