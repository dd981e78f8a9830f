package sched

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultRemoteDistance is the assumed network time to another data centre before the
	// first measurement.
	defaultRemoteDistance = time.Millisecond
	// distanceGain is the weight of a new round trip in the moving average.
	distanceGain = 0.1
)

// distances estimates the network time to each data centre from the round trips of
// polls. It is safe for concurrent use.
type distances struct {
	localDataCentre string
	seconds         sync.Map // data centre to *atomic.Uint64 with the bits of a float64
}

func newDistances(own string) *distances { return &distances{localDataCentre: own} }

// to returns the network time to a data centre, in seconds.
func (d *distances) to(dataCentre string) float64 {
	if v, ok := d.seconds.Load(dataCentre); ok {
		return math.Float64frombits(v.(*atomic.Uint64).Load())
	}
	if dataCentre == d.localDataCentre {
		return 0
	}
	return defaultRemoteDistance.Seconds()
}

// observe updates the estimate with the round trip of one poll.
func (d *distances) observe(dataCentre string, trip time.Duration) {
	old := d.to(dataCentre)
	v, _ := d.seconds.LoadOrStore(dataCentre, new(atomic.Uint64))
	bits := math.Float64bits(old + distanceGain*(trip.Seconds()-old))
	v.(*atomic.Uint64).Store(bits)
}
