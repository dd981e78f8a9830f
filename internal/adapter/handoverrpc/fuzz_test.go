package handoverrpc

import (
	"bytes"
	"net/http"
	"testing"

	pb "yuccausher/internal/gen/handover"
)

// Whatever another host sends as the head of a request, this host ends it in order, and a request
// that it serves keeps its method, URI and fields.
func FuzzRequestHead(f *testing.F) {
	f.Add("POST", "/turns/x?a=1", "a.example", "Request-Id", []byte("1"))
	f.Add("", "", "", "", []byte{})
	f.Add("GET", "http://[::1", "a", "\x00", []byte{0xff})
	f.Fuzz(func(t *testing.T, method, uri, host, name string, value []byte) {
		head := &pb.RequestHead{Method: method, Uri: uri, Host: host, Fields: []*pb.Field{{Name: name, Values: [][]byte{value}}}}
		r, err := newRequest(t.Context(), head, bytes.NewReader(nil))
		if err != nil {
			return
		}
		if r.Method != method || r.RequestURI != uri || r.Host != host || r.URL == nil {
			t.Errorf("%q %q %q became %q %q %q", method, uri, host, r.Method, r.RequestURI, r.Host)
		}
		if got := r.Header[name]; len(got) != 1 || got[0] != string(value) {
			t.Errorf("field %q: %q became %q", name, value, got)
		}
		fields := encodeFields(http.Header(r.Header))
		if len(fields) != 1 || !bytes.Equal(fields[0].GetValues()[0], value) {
			t.Errorf("fields: %v", fields)
		}
	})
}
