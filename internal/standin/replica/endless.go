package replica

import (
	"io"
	"strings"
	"time"
)

// dripPause is the time between the bytes of a dripping answer.
const dripPause = 20 * time.Millisecond

// drip sends a byte now and then until the connection ends.
func (r *Replica) drip(x *exchange) bool {
	for {
		if _, err := io.WriteString(x.conn, "x"); err != nil {
			return false
		}
		select {
		case <-time.After(dripPause):
		case <-r.down:
			return false
		}
	}
}

// flood repeats bytes until the connection ends.
func (r *Replica) flood(x *exchange, unit string) bool {
	data := []byte(strings.Repeat(unit, 1<<10))
	for {
		n, err := x.conn.Write(data)
		r.mu.Lock()
		r.flooded += int64(n)
		r.mu.Unlock()
		if err != nil {
			return false
		}
	}
}

// Flooded returns how many bytes of endless answers were taken.
func (r *Replica) Flooded() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flooded
}
