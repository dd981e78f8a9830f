package targetload

import (
	"math"
	"time"
)

const (
	// maxBins is how many loads are told apart. Targets with more slots share a bin between
	// neighbouring loads.
	maxBins = 64
	// minEventTime and maxEventTime limit the time per event that is believed, in seconds: no
	// engine is faster, and requests end within a minute.
	minEventTime = 10e-6
	maxEventTime = 60.0
	// requestSlope is the assumed increase of the time between events per running request,
	// until samples show another one. Engines' steps are 0.3 to 1% slower for each.
	requestSlope = 0.006
	// priorWeight is the number of samples that the neighbouring load counts for.
	priorWeight = 3.0
	// minSamples is how many samples are needed before anything is returned.
	minSamples = 8
	// levelGain is the weight of one sample in the target's speed. Some ten samples, one to
	// a few seconds of a busy target, follow a change of speed.
	levelGain = 0.15
	// curveGain is the least weight of a sample in the time at its load. It averages over
	// some twenty samples, since single engines are 2.5 times slower for 600 ms at times.
	curveGain = 0.05
	// maxWeight limits the weight of the samples at one load, so that it decays within
	// a few half-lives.
	maxWeight = 30.0
	// loadGain is the weight of one sample in the mean load, loadSpread the relative
	// deviation from it within which the load counts as steady, minSteadiness the least
	// part of a deviation that changes the speed.
	loadGain      = 0.05
	loadSpread    = 0.12
	minSteadiness = 0.1
	// maxCurveError limits what the first sample contributes to the time at its load, as a
	// logarithm: a factor of 2. After robustWeight samples it is half of that, so that phases
	// in which the target is slow at any load change the level instead.
	maxCurveError = 0.7
	robustWeight  = 3.0
	// maxLevelError limits what one sample contributes to the speed: a factor of 4.5.
	maxLevelError = 0.7
	// evidenceHalfLife is the half-life of the weight of samples in the time at a load.
	// Afterwards a limit rises again, so that a recovery is seen; a shorter one costs
	// throughput at targets with a cliff.
	evidenceHalfLife = 40 * time.Second
	// minReduction is the least part of the limit that one reduction leaves, since the first
	// samples at lower loads are few.
	minReduction = 0.6
	// raiseInterval is the least time between two increases of the limit, a few requests'
	// time.
	raiseInterval = 2 * time.Second
	// retryInterval is how long a limit is in force before one more request is tried,
	// retriedWeight the weight that earlier samples at that load then have at most.
	retryInterval = 30 * time.Second
	retriedWeight = 2.0
	// untriedInterval is the same while the requests do not reach the limit.
	untriedInterval = 20 * time.Second
	// maxProbeTime is the longest time for which a lower load is tried when none was seen
	// within evidenceHalfLife, probeInterval the least time between two such probes. They
	// cost at most a quarter of the throughput for a tenth of the time, mostly far less, since a
	// probe ends when minProbeWeight samples have come.
	maxProbeTime  = 3 * time.Second
	probeInterval = 30 * time.Second
	// minProbeWeight is the weight of samples at lower loads that makes a probe needless.
	minProbeWeight = 6.0
	// probeShare is the part of the limit that is tried then.
	probeShare = 0.75
	// minProbeLimit is the least limit below which lower loads are not tried.
	minProbeLimit = 3
)

// Estimator learns the speed and the limit of one run of a target. It models the time per
// event as a level, which follows changes of speed, times a curve over the load, which is
// learned slowly. It is not safe for concurrent use.
type Estimator struct {
	slots int
	bins  []bin
	// fitted is the curve that fits the bins.
	fitted knee
	// level is the logarithm of the seconds per event.
	level   float64
	samples float64
	// meanLoad is the load at which the target has run of late.
	meanLoad float64
	limit    int
	// atLimit is how many samples the limit in force has got.
	atLimit int
	// at is the time of the latest sample, decayedAt that of the latest decay of weights.
	at, decayedAt time.Time
	changedAt     time.Time
	// probeStarted and probeEnds delimit the latest probe of a lower load.
	probeStarted, probeEnds time.Time
}

// New returns an estimator of a target that runs slots requests at once, at least one.
func New(slots int) *Estimator {
	slots = max(slots, 1)
	return &Estimator{slots: slots, limit: slots, bins: make([]bin, min(slots, maxBins)), fitted: knee{base: 1, load: float64(slots)}}
}

// Slots returns the number of slots of the target.
func (e *Estimator) Slots() int { return e.slots }

// width returns the number of loads that share a bin.
func (e *Estimator) width() float64 { return float64(e.slots) / float64(len(e.bins)) }

// index returns the bin of a load; loads above the number of slots share the last one.
func (e *Estimator) index(load float64) int {
	return min(max(int(math.Round(load/e.width()))-1, 0), len(e.bins)-1)
}

// load returns the number of requests that a bin stands for.
func (e *Estimator) load(index int) float64 { return float64(index+1) * e.width() }

// Observe adds a sample. load is the mean number of requests in progress at the target
// while this one was, itself included. Loads above the slots count as these.
func (e *Estimator) Observe(s Sample, load float64, now time.Time) {
	e.decay(now)
	if s.IsRefused {
		e.reduce(s.InProgress, now)
		return
	}
	if !s.isTimed() {
		return
	}
	e.at = now
	load = min(max(load, 1), float64(e.slots))
	y := math.Log(min(max(s.Gap.Seconds()+s.wait()/float64(s.Events), minEventTime), maxEventTime))
	i := e.index(load)
	if e.samples == 0 {
		e.level = y - requestSlope*(e.load(i)-1)
	}
	e.samples++
	if i >= e.index(float64(e.limit)) {
		e.atLimit++
	}
	expected := e.expected(i, load)
	err := y - e.level - expected
	b := &e.bins[i]
	if b.weight == 0 {
		b.time, b.load = expected, load
	}
	known := b.weight / (b.weight + priorWeight)
	// What samples at an unknown load show belongs to the load, what they show at a known
	// one to the speed.
	toLevel := levelGain * known * max(e.steadiness(load), minSteadiness)
	if e.samples <= minSamples {
		toLevel = 1 / e.samples
	}
	e.level += toLevel * clamp(err, maxLevelError)
	b.weight = min(b.weight+1, maxWeight)
	gain := max(1/b.weight, curveGain)
	// The mean moves with the mean load along the fitted curve, and to the sample.
	moved := b.load + gain*(load-b.load)
	b.time += math.Log(e.fitted.time(moved)/e.fitted.time(b.load)) + gain*clamp((1-toLevel)*err, maxCurveError*robustWeight/(robustWeight+b.weight))
	b.load = moved
	e.adapt(now)
}

// steadiness returns 1 for the load at which the target has run of late, and less for
// others: while the load changes, a change of the time per event is likely due to it.
func (e *Estimator) steadiness(load float64) float64 {
	if e.meanLoad == 0 {
		e.meanLoad = load
	}
	x := (load - e.meanLoad) / (loadSpread * e.meanLoad)
	e.meanLoad += loadGain * (load - e.meanLoad)
	return math.Exp(-x * x)
}

func clamp(x, most float64) float64 { return min(max(x, -most), most) }

// reduce lowers the limit after a refusal with a number of other requests in progress.
func (e *Estimator) reduce(inProgress int, now time.Time) {
	e.at = now
	if inProgress < e.limit {
		e.limit, e.changedAt = max(inProgress, 1), now
	}
}

func (e *Estimator) decay(now time.Time) {
	if !e.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(e.decayedAt)) / float64(evidenceHalfLife))
		for i := range e.bins {
			e.bins[i].weight *= factor
		}
	}
	e.decayedAt = now
}

// expected returns the logarithm of the time per event at a load in a bin relative to the
// level: the mean of the bin's samples, and where there are few, the fitted curve.
func (e *Estimator) expected(i int, load float64) float64 {
	b := e.bins[i]
	curve := math.Log(e.fitted.time(load))
	if b.weight == 0 {
		return curve
	}
	mean := b.time + curve - math.Log(e.fitted.time(b.load))
	return (b.weight*mean + priorWeight*curve) / (b.weight + priorWeight)
}

// adapt changes the limit to what the samples show.
func (e *Estimator) adapt(now time.Time) {
	e.fitted = fit(e.bins, e.width())
	if e.samples < minSamples {
		return
	}
	wanted := e.slots
	if e.fitted.steep > 0 && e.fitted.throughput(e.fitted.load) > e.fitted.throughput(float64(e.slots)) {
		wanted = max(int(math.Round(e.fitted.load)), 1)
	}
	switch {
	case wanted < e.limit && e.atLimit >= minSamples:
		e.limit, e.changedAt, e.atLimit = max(wanted, int(minReduction*float64(e.limit))), now, 0
	case wanted == e.limit && e.limit < e.slots && now.Sub(e.changedAt) >= retryInterval:
		// What is known of the next load may be out of date or wrong.
		e.limit, e.changedAt, e.atLimit = e.limit+1, now, 0
		next := &e.bins[e.index(float64(e.limit))]
		next.weight = min(next.weight, retriedWeight)
	case wanted > e.limit && e.mayRaise(now):
		e.limit, e.changedAt, e.atLimit = min(e.limit+max(e.slots/16, 1), wanted), now, 0
	}
	e.probe(now)
}

// mayRaise reports whether the latest change of the limit has been tried.
func (e *Estimator) mayRaise(now time.Time) bool {
	if e.atLimit < minSamples {
		return now.Sub(e.changedAt) >= untriedInterval
	}
	return now.Sub(e.changedAt) >= raiseInterval
}

// probe begins to try a lower load if the requests of late have shown only the limit.
func (e *Estimator) probe(now time.Time) {
	lower := 0.0
	for i := e.index(probeShare*float64(e.limit)) - 1; i <= e.index(probeShare*float64(e.limit)); i++ {
		lower += e.bins[max(i, 0)].weight
	}
	if lower >= minProbeWeight || e.limit < minProbeLimit {
		if now.Before(e.probeEnds) {
			e.probeEnds = now
		}
		return
	}
	if now.Before(e.probeEnds) || !e.probeStarted.IsZero() && now.Sub(e.probeStarted) < probeInterval {
		return
	}
	if e.bins[e.index(float64(e.limit))].weight < minProbeWeight {
		return
	}
	e.probeStarted, e.probeEnds = now, now.Add(maxProbeTime)
}

// Estimate returns what is known at a time.
func (e *Estimator) Estimate(now time.Time) Estimate {
	if e.samples < minSamples {
		if e.limit < e.slots {
			return Estimate{Limit: e.limit, Age: now.Sub(e.at)}
		}
		return Estimate{}
	}
	limit := e.limit
	if now.Before(e.probeEnds) {
		limit = max(int(probeShare*float64(limit)), 1)
	}
	return Estimate{Limit: limit, EventsPerSecond: min(max(math.Exp(-e.level)/e.fitted.time(1), 1/maxEventTime), 1/minEventTime), Age: now.Sub(e.at)}
}
