package scenario

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// reservedPort reserves a port of the loopback address: the system does not assign it to a socket that binds to any free
// port. A listener that binds to this port explicitly gets it, any number of times.
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
	// While a socket with this option does not listen, a listener that also has the option can bind to the same port.
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
