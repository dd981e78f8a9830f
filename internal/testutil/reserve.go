package testutil

import (
	"net"
	"os"
	"testing"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Reservation keeps a loopback port from being given to anybody else. Listeners that ask for its
// address get it, also again after they have been closed.
type Reservation struct {
	fd      int
	address string
}

// ReserveAddress reserves a loopback address with a free port. The caller must release it.
func ReserveAddress() (*Reservation, error) { return reserve(0) }

// reserve reserves a port, or any free one if port is 0.
func reserve(port int) (*Reservation, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotate(os.NewSyscallError("socket", err), "reserve a port")
	}
	r := &Reservation{fd: fd}
	if err := r.bind(port); err != nil {
		r.Release()
		return nil, errors.Annotatef(err, "reserve port %d", port)
	}
	return r, nil
}

// bind binds the socket, which never listens. It shares its address (SO_REUSEADDR) only once it is
// bound, so that it fails at a port that another process has reserved.
func (r *Reservation) bind(port int) error {
	if err := unix.Bind(r.fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return os.NewSyscallError("bind", err)
	}
	if err := unix.SetsockoptInt(r.fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	bound, err := unix.Getsockname(r.fd)
	if err != nil {
		return os.NewSyscallError("getsockname", err)
	}
	a, ok := bound.(*unix.SockaddrInet4)
	if !ok {
		return errors.NotValidf("address %v", bound)
	}
	r.address = (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	return nil
}

// Address returns the reserved address.
func (r *Reservation) Address() string { return r.address }

// Release ends the reservation.
func (r *Reservation) Release() { _ = unix.Close(r.fd) }

// ReservedAddress returns a loopback address that is reserved until the test ends.
func ReservedAddress(t testing.TB) string {
	t.Helper()
	r, err := ReserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r.Address()
}
