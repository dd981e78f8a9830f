package front

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Connections of other tests were given the port of a path that was cut, so that the path could not
// be healed: "address already in use".
func TestPortOfACutPathIsNotTaken(t *testing.T) {
	is := is.New(t)
	elsewhere, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer elsewhere.Close()
	for _, how := range []cut{reset, refuse} {
		p := newPath(t, elsewhere.Addr().String())
		p.cut(how)
		local, err := net.ResolveTCPAddr("tcp", p.address)
		is.NoErr(err)
		c, err := net.DialTCP("tcp", local, elsewhere.Addr().(*net.TCPAddr))
		if err == nil {
			defer c.Close()
		}
		is.True(err != nil) // the port is in use
		p.heal()
	}
}
