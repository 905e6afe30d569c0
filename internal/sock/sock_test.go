package sock

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ear is a session that passes on what it is told.
type ear struct {
	data   chan []byte
	closed chan error
	wrote  atomic.Int64
}

func newEar() *ear { return &ear{data: make(chan []byte, 1000), closed: make(chan error, 2)} }

func (e *ear) Data(b []byte)    { e.data <- bytes.Clone(b) }
func (e *ear) Closed(err error) { e.closed <- err }
func (e *ear) Wrote(n int)      { e.wrote.Add(int64(n)) }

// pair is a connection that an engine has accepted, with its other end.
func pair(t *testing.T) (*Engine, *ear, *Conn, net.Conn) {
	e, s, conns := Start(), newEar(), make(chan *Conn, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.Accept(l, func(c *Conn) Session { conns <- c; return s })
	t.Cleanup(e.Stop)
	far, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	return e, s, <-conns, far
}

func TestWhatThePeerDoesNotReadWaitsAndComesInOrder(t *testing.T) {
	_, s, c, far := pair(t)
	head, body := []byte("head"), bytes.Repeat([]byte("0123456789abcdef"), 1<<20) // 16 MiB: more than the kernel keeps
	_, err := c.Write(head, body)
	require.NoError(t, err)
	_, err = c.Write([]byte("tail"), nil)
	require.NoError(t, err)
	waiting, since := c.Pending()
	require.Positive(t, waiting)
	require.False(t, since.IsZero())
	want := append(append(append([]byte{}, head...), body...), "tail"...)
	got := make([]byte, len(want))
	_, err = io.ReadFull(far, got)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got))
	require.Eventually(t, func() bool { n, _ := c.Pending(); return n == 0 && s.wrote.Load() == int64(len(want)) },
		10*time.Second, time.Millisecond)
}

func TestASessionHearsItsEndOnceAndLast(t *testing.T) {
	_, s, c, far := pair(t)
	require.True(t, c.Quiet())
	_, _ = far.Write([]byte("hi"))
	require.Equal(t, "hi", string(<-s.data))
	_ = far.Close()
	require.ErrorIs(t, <-s.closed, io.EOF)
	require.False(t, c.Quiet())
	c.Close()
	none, err := c.Write([]byte("x"), nil)
	require.True(t, none && err != nil)
	require.Empty(t, s.closed)
}

// A descriptor goes from one connection to the next at once; what was still to be told of the first must not reach
// the second.
func TestADescriptorUsedAnewIsAnotherConnection(t *testing.T) {
	e := Start()
	t.Cleanup(e.Stop)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if n%2 == 0 { // data and an end wait when this side closes
				_, _ = c.Write([]byte("old"))
				_ = c.Close()
				continue
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	dial := func(s *ear) *Conn {
		opened := make(chan *Conn, 1)
		e.Dial(l.Addr().String(), 5*time.Second, s, func(c *Conn, err error) { require.NoError(t, err); opened <- c })
		return <-opened
	}
	for range 200 {
		first, second := newEar(), newEar()
		c := dial(first)
		c.Close()
		d := dial(second)
		_, err := d.Write([]byte("new"), nil)
		require.NoError(t, err)
		require.Equal(t, "new", string(<-second.data))
		require.Empty(t, second.closed)
		d.Close()
		<-first.closed
		<-second.closed
	}
}

// slow is a session that holds what it is told until it may go on.
type slow struct {
	*ear
	in, goOn chan bool
}

func (s slow) Data(b []byte) { s.in <- true; <-s.goOn; s.ear.Data(b) }

func TestAConnectionWhoseSessionHasNotHeardAllIsNotIdle(t *testing.T) {
	e, conns := Start(), make(chan *Conn, 1)
	s := slow{newEar(), make(chan bool), make(chan bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.Accept(l, func(c *Conn) Session { conns <- c; return s })
	t.Cleanup(e.Stop)
	far, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = far.Close() })
	c, yes := <-conns, func() bool { return true }
	_, _ = far.Write([]byte("1"))
	<-s.in // read, and not heard
	require.False(t, c.CloseIdle(yes))
	_, _ = far.Write([]byte("2")) // and arrived, but not read
	require.False(t, c.CloseIdle(yes))
	s.goOn <- true
	<-s.in
	require.False(t, c.CloseIdle(yes))
	s.goOn <- true
	require.Equal(t, "1", string(<-s.data))
	require.Equal(t, "2", string(<-s.data))
	require.False(t, c.CloseIdle(func() bool { return false }), "its session knows of something")
	require.Eventually(t, func() bool { return c.CloseIdle(yes) }, 10*time.Second, time.Millisecond)
	require.Error(t, <-s.closed)
	_, _ = far.Write([]byte("3"))
	require.Empty(t, s.data, "nothing is read after it")
}

// An answer that its reader has not read is not thrown away because the reader sent something more.
func TestWhatWasWrittenLastIsReadThoughThePeerGoesOnSending(t *testing.T) {
	_, s, c, far := pair(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	_, err := c.Write(body, nil)
	require.NoError(t, err)
	c.CloseWrite()
	none, err := c.Write([]byte("x"), nil)
	require.True(t, none && err != nil, "nothing goes after it")
	_, _ = far.Write([]byte("more"))
	require.Equal(t, "more", string(<-s.data))
	got, err := io.ReadAll(far)
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, got))
	_ = far.Close()
	require.ErrorIs(t, <-s.closed, io.EOF)
}
