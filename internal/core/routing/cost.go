package routing

// Request is what a choice depends on, besides the targets.
type Request struct {
	// Program is the program's ID.
	Program string
	// PromptTokens is the length of the whole prompt.
	PromptTokens float64
	// PrefillRate is the targets' speed in tokens a second; zero if unknown.
	PrefillRate float64
	// Service is how long a call stays at a target, in seconds.
	ServiceTime float64
	// Decode is the part of Service after the first token, in seconds.
	DecodeTime float64
	// CacheFactor multiplies the cost of prefill; above one it also counts
	// what the prefill costs others.
	CacheFactor float64
	// Distance returns the network time to a data centre, in seconds.
	Distance func(dataCentre string) float64
	// Slot is what kind of slot the call takes.
	Slot Slot
	// MemoryReduction is the share of a target's memory that has to stay free
	// of new programs, and Footprint the tokens that this one will hold.
	MemoryReserve float64
	Footprint     float64
	// Fresh says that the call is the first of a new program.
	NewProgram bool
	// Patient says that the call can still wait for a target that has its
	// prefix and no room.
	CanWait bool
}

// Holder is a target that is taken to hold a part of the prompt.
type Holder struct {
	Target *Target
	// Tokens is the expected number of cached tokens.
	Tokens float64
}

const (
	// batchSlowdown is the growth of the decode time from an empty to a full
	// batch.
	batchSlowdown = 0.1
	// suspectCost is added for a suspect target, in seconds.
	suspectCost = 5.0
)

// Cost returns the expected cost of a call at a target, in seconds.
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
	if over := load + 1 - slots; over > 0 {
		cost += r.ServiceTime * over / slots
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

// slotWait is the expected time until a full target has room for this host.
func (r *Request) slotWait(t *Target) float64 {
	return r.ServiceTime / float64(max(t.running.Load(), 1))
}
