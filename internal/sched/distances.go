package sched

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultRemoteDistance is assumed to another data centre until it is measured.
	defaultRemoteDistance = time.Millisecond
	// distanceGain is the weight of a new round trip.
	distanceGain = 0.1
)

// distances learns the network time to each data centre from the round trips
// of reports. Reads are lock-free.
type distances struct {
	localDataCentre string
	seconds         sync.Map // data centre to *atomic.Uint64, float bits
}

func newDistances(own string) *distances { return &distances{localDataCentre: own} }

// to returns the network time to a data centre in seconds.
func (d *distances) to(dataCentre string) float64 {
	if v, ok := d.seconds.Load(dataCentre); ok {
		return math.Float64frombits(v.(*atomic.Uint64).Load())
	}
	if dataCentre == d.localDataCentre {
		return 0
	}
	return defaultRemoteDistance.Seconds()
}

// observe takes the round trip of one report.
func (d *distances) observe(dataCentre string, trip time.Duration) {
	old := d.to(dataCentre)
	v, _ := d.seconds.LoadOrStore(dataCentre, new(atomic.Uint64))
	bits := math.Float64bits(old + distanceGain*(trip.Seconds()-old))
	v.(*atomic.Uint64).Store(bits)
}
