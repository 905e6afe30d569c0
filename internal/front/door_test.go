package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplefront/internal/http1"
	"dapplefront/internal/loop"
	"dapplefront/internal/sock"
	"dapplefront/logic"
)

// house is a door on a real listener, whose loop a test can hold.
type house struct {
	*testing.T
	loop  *loop.Loop
	door  *Door
	at    string
	taken chan *Call
}

func newHouse(t *testing.T, change func(*Welcome)) *house {
	w := Welcome{Kinds: []Kind{{Name: "quote", Paths: []string{"/"}, Patience: 10 * logic.Second}},
		Bounds: http1.Bounds{Head: 4096, Body: 4096}, Slow: time.Minute, Idle: time.Minute, Links: 10, AtOnce: 1}
	if change != nil {
		change(&w)
	}
	h := &house{T: t, loop: loop.New(), taken: make(chan *Call, 100)}
	engine := sock.Start()
	h.loop.Do(func() {
		h.door = NewDoor(h.loop, w, http1.NewBudget(1<<20), func(c *Call) { c.Left = func() {}; h.taken <- c })
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h.at = l.Addr().String()
	engine.Accept(l, h.door.Enter)
	t.Cleanup(func() { h.loop.Close(); engine.Stop() })
	return h
}

// hold stops the loop until the function that it returns is called.
func (h *house) hold() (goOn func()) {
	held, barrier := make(chan bool), make(chan bool)
	go h.loop.Post(func() { held <- true; <-barrier })
	<-held
	return func() { close(barrier) }
}

func (h *house) scrap(c *Call) { h.loop.Do(func() { c.Scrap(false) }) }

type visitor struct {
	net.Conn
	in *bufio.Reader
}

func (h *house) visit() visitor {
	c, err := net.Dial("tcp", h.at)
	require.NoError(h, err)
	h.Cleanup(func() { _ = c.Close() })
	require.NoError(h, c.SetDeadline(time.Now().Add(20*time.Second)))
	return visitor{c, bufio.NewReader(c)}
}

func (v visitor) ask() { fmt.Fprint(v, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n") }

// status is that of the next answer; 0 where the connection ends first.
func (v visitor) status() int {
	got, err := http.ReadResponse(v.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, got.Body)
	return got.StatusCode
}

// guest is the one guest of a door; the loop must stand still.
func (h *house) guest() (g *guest) {
	for g = range h.door.guests {
	}
	return g
}

func (h *house) welcomed(n int) {
	require.Eventually(h, func() bool { guests := 0; h.loop.Do(func() { guests = h.door.Guests() }); return guests == n },
		20*time.Second, time.Millisecond)
}

// A request that the reader has read and handed in, but that the loop has not come to, keeps its connection open,
// whoever would close it as idle: the end of the router, the sweep, a newcomer without a place.
func TestAClosingOfIdleConnectionsThatCrossesARequestLeavesItAnswered(t *testing.T) {
	for name, closes := range map[string]func(*Door){
		"the router ends": (*Door).Close,
		"a newcomer":      func(d *Door) { d.room() },
		"the sweep":       func(d *Door) { d.welcome.Idle = 0; d.sweep() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHouse(t, func(w *Welcome) { w.Spare = time.Nanosecond })
			v := h.visit()
			v.ask()
			h.scrap(<-h.taken) // it has asked before
			require.Equal(t, 502, v.status())
			goOn := h.hold()
			go h.loop.Post(func() { closes(h.door) }) // it stands in line before the request does
			require.Eventually(t, func() bool { return h.loop.Waiting() == 1 }, 20*time.Second, time.Millisecond)
			g := h.guest()
			v.ask()
			require.Eventually(t, func() bool { return g.owed.Load() == 1 && h.loop.Waiting() == 2 }, 20*time.Second, time.Millisecond)
			g.heard.Store(0) // long ago, as far as the door knows
			goOn()
			if name != "the router ends" {
				h.scrap(<-h.taken)
				require.Equal(t, 502, v.status())
				return
			}
			require.Equal(t, 503, v.status())
			_ = v.Close()
			require.Eventually(t, func() bool { done := false; h.loop.Do(func() { done = h.door.Drained() }); return done },
				20*time.Second, time.Millisecond)
		})
	}
}

// A request that came on a connection for which there was no place must not run: its client can't be answered.
func TestARequestOfAConnectionThatIsTurnedAwayIsNotTaken(t *testing.T) {
	h := newHouse(t, func(w *Welcome) { w.Links = 1 })
	first := h.visit()
	first.ask()
	c := <-h.taken
	goOn := h.hold()
	v := h.visit()
	v.ask()
	require.Eventually(t, func() bool { return h.loop.Waiting() == 2 }, 20*time.Second, time.Millisecond, "its coming and its request")
	goOn()
	require.Zero(t, v.status())
	h.loop.Do(func() {}) // all that stood in line is done
	require.Empty(t, h.taken)
	h.scrap(c)
	require.Equal(t, 502, first.status())
}

// Half a request has time to become whole while the router ends; then it is told to come back.
func TestHalfARequestAtTheEndIsWaitedForAndTurnedBack(t *testing.T) {
	h := newHouse(t, nil)
	v := h.visit()
	fmt.Fprint(v, "GET /x HTTP/1.1\r\nHost: h\r\n\r")
	h.welcomed(1)
	goOn := h.hold()
	g := h.guest()
	require.Eventually(t, func() bool { return g.begun.Load() != 0 }, 20*time.Second, time.Millisecond)
	goOn()
	h.loop.Do(h.door.Close)
	drained := true
	h.loop.Do(func() { drained = h.door.Drained() })
	require.False(t, drained)
	fmt.Fprint(v, "\n")
	require.Equal(t, 503, v.status())
	_, err := v.in.ReadByte()
	require.ErrorIs(t, err, io.EOF, "then the connection ends in order")
}

// What comes once the router has been told to end is answered before it does, however long its client would wait.
func TestARequestThatComesWhileTheRouterEndsHasNoMoreTimeThanIsLeft(t *testing.T) {
	h := newHouse(t, nil)
	h.loop.Do(func() { h.door.Bow(h.loop.Now() + logic.Second) })
	v := h.visit()
	v.ask()
	require.LessOrEqual(t, (<-h.taken).Patience, logic.Second)
}

// Those that asked once and stay leave their places to newcomers, long before they would be closed as idle.
func TestAnIdleConnectionMakesRoomForANewcomerThatAsks(t *testing.T) {
	h := newHouse(t, func(w *Welcome) { w.Links, w.Spare = 2, time.Nanosecond })
	first, second := h.visit(), h.visit()
	for _, v := range []visitor{first, second} {
		v.ask()
		h.scrap(<-h.taken)
		require.Equal(t, 502, v.status())
	}
	second.ask() // has an open request, and stays
	open := <-h.taken
	third := h.visit()
	third.ask()
	h.scrap(<-h.taken)
	require.Equal(t, 502, third.status())
	_, err := first.in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	h.scrap(open)
	require.Equal(t, 502, second.status())
}

// An answer that has not left whole keeps its connection, whoever would close it as idle.
func TestAnAnswerThatIsOnItsWayKeepsItsConnection(t *testing.T) {
	for name, closes := range map[string]func(*Door){
		"the router ends": (*Door).Close,
		"a newcomer":      func(d *Door) { d.room() },
		"the sweep":       func(d *Door) { d.welcome.Idle = 0; d.sweep() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHouse(t, func(w *Welcome) { w.Spare = time.Nanosecond })
			v := h.visit()
			v.ask()
			c := <-h.taken
			body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // more than the kernel keeps
			pending := 0
			h.loop.Do(func() {
				c.Finish(&http1.Message{Status: 200, Reason: "OK", Body: body}, 1)
				h.guest().heard.Store(0) // long ago
				pending, _ = h.guest().conn.Pending()
				closes(h.door)
			})
			require.Positive(t, pending)
			got, err := http.ReadResponse(v.in, nil)
			require.NoError(t, err)
			text, err := io.ReadAll(got.Body)
			require.NoError(t, err)
			require.True(t, bytes.Equal(body, text))
		})
	}
}
