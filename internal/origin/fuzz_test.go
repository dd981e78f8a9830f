package origin

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/fleet"
	pb "yuccausher/internal/gen/origin"
	"yuccausher/internal/port"
)

// Records of other writers, or of other versions of this program, end no host. A batch that is read
// again changes nothing.
func FuzzStarts(f *testing.F) {
	for _, streams := range []int{0, 1, 5} {
		data, err := proto.Marshal(encode(batchOf(streams), time.Now()))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("\x08\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newReader(Params{}, 1, func() time.Duration { return time.Minute }, logr.Discard(), newMetrics(tally.NoopScope))
		r.add([][]byte{data})
		before := r.index.Len()
		r.add([][]byte{data})
		if after := r.index.Len(); after != before || after > len(data) {
			t.Errorf("%d and %d starts in %d bytes", before, after, len(data))
		}
	})
}

// A record of the list of releases either names a service or counts as invalid.
func FuzzReleases(f *testing.F) {
	for _, leftAt := range []int64{0, 1, -1} {
		data, err := proto.Marshal(&pb.Release{Service: service, Version: "v1", LeftAt: leftAt})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		h, invalid := decodeReleases([]port.KeyedRecord{{Key: "key", Value: data}})
		releases := h.Releases()
		if len(releases)+invalid != 1 {
			t.Fatalf("%d releases, %d invalid", len(releases), invalid)
		}
		for _, r := range releases {
			if (r == fleet.Release{} || r.Service == "") {
				t.Errorf("release of no service: %+v", r)
			}
		}
	})
}
