package gate

import "net"

// Listener returns l with its connections going through the gate.
func (g *Gate) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, gate: g}
}

type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.gate.waitOpen() {
		c.Close()
		return nil, net.ErrClosed
	}
	l.gate.track(c)
	return &conn{Conn: c, gate: l.gate}, nil
}

type conn struct {
	net.Conn
	gate *Gate
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.gate.waitOpen() {
		return 0, ClosedError{}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if !c.gate.waitOpen() {
		return 0, ClosedError{}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.untrack(c.Conn)
	return c.Conn.Close()
}
