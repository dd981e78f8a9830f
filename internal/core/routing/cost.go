package routing

// Request holds the properties of a call that determine its target.
type Request struct {
	// Program is the program's ID.
	Program string
	// PromptTokens is the length of the complete prompt.
	PromptTokens float64
	// PrefillRate is the prefill speed of the targets in tokens per second; zero if
	// unknown.
	PrefillRate float64
	// ServiceTime is the expected duration of a call at a target, in seconds.
	ServiceTime float64
	// DecodeTime is the part of ServiceTime after the first token, in seconds.
	DecodeTime float64
	// CacheFactor multiplies the cost of prefill. Above one it includes the delay
	// that the prefill causes for other calls.
	CacheFactor float64
	// Distance returns the network time to a data centre, in seconds.
	Distance func(dataCentre string) float64
	// Slot is the kind of slot that the call needs.
	Slot Slot
	// MemoryReserve is the share of a target's memory that new programs must leave
	// free. Footprint is the expected size of this program's cache, in tokens.
	MemoryReserve float64
	Footprint     float64
	// NewProgram is set for the first call of a program.
	NewProgram bool
	// CanWait is set if the call may still wait for a target that holds its prefix
	// and has no free slot.
	CanWait bool
}

// Holder is a target that probably holds a part of the prompt in its cache.
type Holder struct {
	Target *Target
	// Tokens is the expected number of cached tokens.
	Tokens float64
}

const (
	// batchSlowdown is the relative increase of the decode time from an empty to a
	// full batch.
	batchSlowdown = 0.1
	// suspectCost is the additional cost of a suspect target, in seconds.
	suspectCost = 5.0
)

// Cost returns the expected cost of a call at a target with a number of cached
// tokens, in seconds.
func (r *Request) Cost(t *Target, cached float64) float64 {
	cost := r.queueCost(t) + r.prefillCost(t, cached)
	if r.Distance != nil {
		cost += r.Distance(t.DataCentre)
	}
	if t.State() == Suspect {
		cost += suspectCost
	}
	return cost
}

func (r *Request) queueCost(t *Target) float64 {
	slots := float64(t.concurrency.Load())
	load := t.Load()
	cost := batchSlowdown * r.DecodeTime * min(load/slots, 1)
	if excess := load + 1 - slots; excess > 0 {
		cost += r.ServiceTime * excess / slots
	}
	return cost
}

func (r *Request) prefillCost(t *Target, cached float64) float64 {
	if r.PrefillRate <= 0 {
		return 0
	}
	uncached := max(r.PromptTokens-cached, 0)
	displaced := max(t.Pressure()-fullPressure, 0) / (1 - fullPressure)
	return r.CacheFactor * (1 + displaced) * uncached / r.PrefillRate
}

// slotWait returns the expected time until a slot of this host at a full target is
// free, in seconds.
func (r *Request) slotWait(t *Target) float64 {
	return r.ServiceTime / float64(max(t.running.Load(), 1))
}
