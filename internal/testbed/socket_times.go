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

// kernelTick is the coarsest resolution in which the kernel reports when a socket last sent data.
const kernelTick = 10 * time.Millisecond

// controlBufferSize is large enough for one timestamp.
const controlBufferSize = 64

// timedConn is a TCP connection that reports when the kernel received the bytes read from it and sent the bytes written to
// it. These times don't depend on how late a goroutine reads or writes on a busy machine.
type timedConn struct {
	*net.TCPConn
	raw        syscall.RawConn
	receivedAt atomic.Pointer[time.Time] // receive time of the bytes that were read last
}

// newTimedConn enables receive timestamps on a connection and wraps it.
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

// timedOrPlain returns a timedConn, or the connection itself if timestamps can't be enabled.
func timedOrPlain(conn *net.TCPConn) net.Conn {
	timed, err := newTimedConn(conn)
	if err != nil { // the connection has ended, which its reader detects
		return conn
	}
	return timed
}

// Read reads bytes and stores the time at which the kernel received the last of them. It first peeks at the bytes to get
// their timestamp and then reads them through net.TCPConn, so that the race detector orders the read after the write.
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
		return c.TCPConn.Read(b) // returns the error that ended the connection
	}
	receivedAt := receiveTime(control[:controlLen], time.Now())
	c.receivedAt.Store(&receivedAt)
	return c.TCPConn.Read(b[:n])
}

// receiveTime returns the kernel's receive time, on the clock of now, or now if the kernel provides none.
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

// lastReceived returns when the kernel received the bytes that were read last, or zero before the first read.
func (c *timedConn) lastReceived() time.Time {
	if at := c.receivedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// lastSent returns when the kernel last sent bytes of the connection. The result is never later than the actual time, may be
// up to two kernel ticks earlier, and is not before earliest.
func (c *timedConn) lastSent(earliest time.Time) time.Time {
	now := time.Now() // taken first, so that a pause after it makes the result earlier, not later
	sent := earliest
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed connection; the result is then earliest
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
