package connlimit

import (
	"testing"

	"storj.io/drpc/drpcwire"
)

// unfinished returns how many bytes at the end of data belong to a message that is not complete,
// as the library of drpc parses it.
func unfinished(data []byte) int {
	rest := len(data)
	for {
		after, frame, ok, err := drpcwire.ParseFrame(data)
		if !ok || err != nil {
			return rest
		}
		if data = after; frame.Done {
			rest = len(data)
		}
	}
}

// Guards against a parser that loses track of where messages end, however the bytes are split:
// connections between hosts would be closed in the middle of sound messages, or endless ones kept.
func FuzzFrames(f *testing.F) {
	whole := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: []byte("hello"), ID: drpcwire.ID{Stream: 300, Message: 2}, Kind: drpcwire.KindMessage, Done: true})
	part := drpcwire.AppendFrame(nil, drpcwire.Frame{Data: make([]byte, 200), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke})
	empty := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindClose, Done: true, Control: true})
	join := func(parts ...[]byte) (all []byte) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	f.Add(join(whole, whole), 1)
	f.Add(join(part, whole, part), 7)
	f.Add(join(empty, empty, whole[:9]), 3)
	f.Add(join(whole, []byte{5, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 0, 0, 0}), 4)
	f.Add([]byte{5, 1, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1, 1, 1}, 5)
	f.Add([]byte{}, 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 {
			size = 1
		}
		var parser frames
		pending := 0
		for from := 0; from < len(data); from += min(size, len(data)-from) {
			p := data[from : from+min(size, len(data)-from)]
			rest, completed := parser.consume(p)
			if completed {
				pending = 0
			}
			if pending += rest; pending != unfinished(data[:from+len(p)]) {
				t.Fatalf("%d bytes of %d are pending, want %d", pending, from+len(p), unfinished(data[:from+len(p)]))
			}
		}
	})
}
