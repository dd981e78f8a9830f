package targetload

import "math"

const (
	// sampleError is the standard deviation of the time per event in one sample, relative to
	// the mean at its load. Phases of 600 ms in which an engine is 2.5 times slower make up
	// most of it.
	sampleError = 0.25
	// minSignificance is how many standard errors a target must be slower above a load for
	// that load to count as its limit.
	minSignificance = 4.0
	// tieSignificance is the difference in standard errors below which two loads explain the
	// samples equally well. The higher one is taken, since it costs less to exceed a limit by
	// one for some requests than to stay below it.
	tieSignificance = 0.6
)

// bin is what samples at one load have shown.
type bin struct {
	// time is the logarithm of the time per event relative to the level of the target.
	time float64
	// load is the mean load of the samples.
	load   float64
	weight float64
}

// knee is a fitted curve of the time per event over the load: it rises by requestSlope per
// request, and by further steep per request above a load.
type knee struct {
	// base is the time of a request alone relative to the level.
	base float64
	// load is where the curve becomes steeper; steep is relative to base, zero if there is no
	// such load.
	load, steep float64
}

// time returns the time per event at a load relative to the level.
func (k knee) time(load float64) float64 {
	return k.base * (1 + requestSlope*(load-1) + k.steep*max(load-k.load, 0))
}

// throughput returns the rate of events of all requests at a load.
func (k knee) throughput(load float64) float64 { return load / k.time(load) }

// fit returns the curve with the least squared error to the bins, straight unless a knee
// explains them significantly better. width is the number of loads per bin.
func fit(bins []bin, width float64) knee {
	points := make([]point, 0, len(bins))
	for _, b := range bins {
		if b.weight >= 1 {
			points = append(points, point{load: b.load, time: math.Exp(b.time), weight: b.weight})
		}
	}
	straight, straightError, _ := fitKnee(points, float64(len(bins))*width)
	best, bestError := straight, straightError
	knees := make([]fitted, 0, len(bins))
	for i := range len(bins) - 1 {
		k, e, ok := fitKnee(points, float64(i+1)*width)
		if !ok || k.steep <= 0 {
			continue
		}
		knees = append(knees, fitted{k, e})
		if e < bestError {
			best, bestError = k, e
		}
	}
	deviation := sampleError * best.base
	if straightError-bestError < minSignificance*minSignificance*deviation*deviation {
		return straight
	}
	for _, f := range knees {
		if f.err <= bestError+tieSignificance*tieSignificance*deviation*deviation {
			best = f.knee // the last one has the highest load
		}
	}
	return best
}

// point is the mean time per event at a load, relative to the level.
type point struct{ load, time, weight float64 }

// fitted is a curve with its squared error.
type fitted struct {
	knee
	err float64
}

// fitKnee fits base and steep of a curve with the knee at a load, and returns its squared
// error. It returns false if the bins don't determine both.
func fitKnee(points []point, load float64) (knee, float64, bool) {
	// The normal equations of time = base*a + extra*b.
	var aa, ab, bb, at, bt, tt float64
	for _, p := range points {
		a, b, t, w := 1+requestSlope*(p.load-1), max(p.load-load, 0), p.time, p.weight
		aa, ab, bb, at, bt, tt = aa+w*a*a, ab+w*a*b, bb+w*b*b, at+w*a*t, bt+w*b*t, tt+w*t*t
	}
	if aa == 0 {
		return knee{base: 1, load: load}, 0, false
	}
	det := aa*bb - ab*ab
	if det <= 1e-9*aa*max(bb, 1) {
		base := at / aa
		return knee{base: base, load: load}, tt - base*at, false
	}
	base, extra := (at*bb-bt*ab)/det, (aa*bt-ab*at)/det
	if base <= 0 {
		return knee{base: at / aa, load: load}, tt, false
	}
	return knee{base: base, load: load, steep: extra / base}, max(tt-base*at-extra*bt, 0), true
}
