package scenario

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// reservedPort keeps a port of the loopback address from being given to anyone who asks for any port. A listener that
// asks for this one gets it, again and again.
type reservedPort struct {
	descriptor int
	address    string
}

// reservePort reserves a free port.
func reservePort() (_ *reservedPort, err error) {
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve a port: %w", err)
	}
	port := &reservedPort{descriptor: descriptor}
	defer func() {
		if err != nil {
			port.release()
			err = fmt.Errorf("reserve a port: %w", err)
		}
	}()
	// A socket that has this option and doesn't listen leaves the port to a listener that has it too.
	if err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	bound, err := unix.Getsockname(descriptor)
	if err != nil {
		return nil, err
	}
	address, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return nil, fmt.Errorf("unexpected address %v", bound)
	}
	port.address = fmt.Sprintf("127.0.0.1:%d", address.Port)
	return port, nil
}

func (p *reservedPort) release() { _ = unix.Close(p.descriptor) }
