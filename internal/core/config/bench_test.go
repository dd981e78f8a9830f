package config_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/config"
)

// plannedOrganisations, changesPerDay and bytesPerSecond are the planned size
// of the fleet: a host reads each of the day's versions within its bytes for
// control.
const (
	plannedOrganisations = 2100
	changesPerDay        = 1700
	bytesPerSecond       = 8 << 10
	secondsPerDay        = 24 * 60 * 60
	// base64Growth is what the log's JSON adds to binary data.
	base64Growth = 4.0 / 3.0
)

func recordSize(t testing.TB, document []byte) int {
	data, err := config.NewChange(1, 2, "id", document).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// TestVersionsFitTheControlBytes bounds what reading all versions costs a host
// at the planned size, at a quarter of its bytes for control.
func TestVersionsFitTheControlBytes(t *testing.T) {
	size := recordSize(t, encode(document(plannedOrganisations)))
	perSecond := float64(size) * base64Growth * changesPerDay / secondsPerDay
	t.Logf("%d bytes a record, %.0f bytes a second", size, perSecond)
	if perSecond > bytesPerSecond/4 {
		t.Fatalf("%.0f bytes a second for configuration", perSecond)
	}
}

// TestWrongCompressionIsRefused: neither broken gzip nor a bomb stops a host.
func TestWrongCompressionIsRefused(t *testing.T) {
	is := is.New(t)
	good, err := config.NewChange(0, 0, "id", encode(document(1))).Encode()
	is.NoErr(err)
	bomb, err := config.NewChange(0, 0, "id", []byte("\""+strings.Repeat("x", 17<<20)+"\"")).Encode()
	is.NoErr(err)
	is.True(len(bomb) < 1<<20)
	for _, data := range [][]byte{good[:len(good)/2], good[:3], bomb} {
		var r config.Replay
		r.SetOldest(0)
		event := r.Apply(0, time.Time{}, data)
		is.Equal(event.Outcome, config.Garbage)
	}
}

// BenchmarkCapacityConfig measures parsing, validation and indexing of a
// document by its number of organisations, each with one agent.
func BenchmarkCapacityConfig(b *testing.B) {
	for _, organisations := range []int{10, 100, 1000, 2100} {
		b.Run(fmt.Sprintf("n=%d", organisations), func(b *testing.B) {
			data := encode(document(organisations))
			b.ReportAllocs()
			for b.Loop() {
				d, err := config.Check(data, nil)
				if err != nil {
					b.Fatal(err)
				}
				config.NewSnapshot(1, d)
			}
			b.ReportMetric(float64(len(data)), "document-B/op")
			b.ReportMetric(float64(recordSize(b, data)), "record-B/op")
		})
	}
}
