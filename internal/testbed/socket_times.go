package testbed

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// kernelTick is the coarsest clock in which the kernel says when a socket last sent.
const kernelTick = 10 * time.Millisecond

// controlBufferSize is enough for one timestamp.
const controlBufferSize = 64

// timedConn is a TCP connection that knows when the kernel received what was read from it, and sent what was written to
// it. A goroutine that reads or writes late on a busy machine doesn't change these times.
type timedConn struct {
	*net.TCPConn
	raw        syscall.RawConn
	receivedAt atomic.Pointer[time.Time] // of the bytes that were read last
}

// newTimedConn makes a connection timed.
func newTimedConn(conn *net.TCPConn) (*timedConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err := errors.Join(err, optionErr); err != nil {
		return nil, err
	}
	return &timedConn{TCPConn: conn, raw: raw}, nil
}

// timedOrPlain makes a connection timed where the system allows it.
func timedOrPlain(conn *net.TCPConn) net.Conn {
	timed, err := newTimedConn(conn)
	if err != nil { // it has ended, which its reader sees
		return conn
	}
	return timed
}

// Read reads and takes the time at which the kernel received the last of the bytes. It looks at the bytes with their time
// first and then reads them as net.TCPConn does, which tells the race detector that they were written before.
func (c *timedConn) Read(b []byte) (int, error) {
	var control [controlBufferSize]byte
	var n, controlLen int
	var err error
	rawErr := c.raw.Read(func(fd uintptr) bool {
		for {
			n, controlLen, _, _, err = unix.Recvmsg(int(fd), b, control[:], unix.MSG_PEEK)
			if !errors.Is(err, unix.EINTR) {
				return !errors.Is(err, unix.EAGAIN)
			}
		}
	})
	if rawErr != nil {
		return 0, rawErr
	}
	if err != nil || n == 0 {
		return c.TCPConn.Read(b) // reports the end of the connection
	}
	receivedAt := receiveTime(control[:controlLen], time.Now())
	c.receivedAt.Store(&receivedAt)
	return c.TCPConn.Read(b[:n])
}

// receiveTime is the kernel's time of receipt, on the clock of now; now itself where the kernel gives none.
func receiveTime(control []byte, now time.Time) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return now
	}
	for _, m := range messages {
		if m.Header.Level == unix.SOL_SOCKET && m.Header.Type == unix.SO_TIMESTAMPNS && len(m.Data) >= int(unsafe.Sizeof(unix.Timespec{})) {
			received := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
			age := now.Round(0).Sub(time.Unix(received.Unix()))
			return now.Add(-max(0, age))
		}
	}
	return now
}

// lastReceived is when the kernel received the bytes that were read last; zero before any.
func (c *timedConn) lastReceived() time.Time {
	if at := c.receivedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// lastSent is when the kernel last sent bytes of the connection: never later than it did, and up to two kernel ticks
// earlier. It is not before earliest.
func (c *timedConn) lastSent(earliest time.Time) time.Time {
	now := time.Now() // first: a pause behind it makes the result earlier
	sent := earliest
	_ = c.raw.Control(func(fd uintptr) { // where it fails, the connection has ended, and earliest stands
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			sent = now.Add(-time.Duration(info.Last_data_sent)*time.Millisecond - 2*kernelTick)
		}
	})
	if sent.Before(earliest) {
		return earliest
	}
	return sent
}
