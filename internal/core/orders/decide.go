package orders

import (
	"time"

	"yuccausher/internal/port"
)

// Rules are the times and bounds of the stewards.
type Rules struct {
	// Lease is how long after it has read the end of the stream a steward may
	// still act on its claim.
	Lease time.Duration
	// ClockAllowance is what a new steward waits beyond the lease, since
	// clocks run at slightly different rates.
	ClockAllowance time.Duration
	// ClaimHold is how long a claim is left alone, so that two hosts which
	// both take themselves for the first do not take turns.
	ClaimHold time.Duration
	// Places is how many targets may fetch weights at once.
	MaxConcurrentLoads int
	// LoadTimeout is how long a target may take to fetch weights.
	LoadTimeout time.Duration
}

// Defaults returns the rules that are shipped.
func Defaults() Rules {
	return Rules{
		Lease:              5 * time.Second,
		ClockAllowance:     100 * time.Millisecond,
		ClaimHold:          15 * time.Second,
		MaxConcurrentLoads: 4,
		LoadTimeout:        2 * time.Minute,
	}
}

// Step is what the first host for a target should do next.
type Step string

// The steps.
const (
	// StepNone: the target shows what is wanted.
	StepNone Step = "none"
	// StepClaim: append a claim.
	StepClaim Step = "claim"
	// StepHold: a claim of another host is too young to be replaced.
	StepWaitHold Step = "hold"
	// StepLease: an earlier steward's lease may still run.
	StepWaitLease Step = "lease"
	// StepQueue: append a load record.
	StepQueue Step = "queue"
	// StepPlace: wait for a place in the queue of loads.
	StepWaitSlot Step = "place"
	// StepOrder: give the order.
	StepOrder Step = "order"
	// StepLoaded: give the place in the queue back.
	StepLoaded Step = "loaded"
)

// Decision is a step with the order that it leads to.
type Decision struct {
	Step  Step
	Order port.Order
	// Epoch is the claim that the step rests on, if the host has one.
	Epoch int64
}

// Decide returns the next step of a host that comes first for a target, given
// the orders that the target still needs.
func (l *Ledger) Decide(now time.Time, rules Rules, self Holder, target string, needed []port.Order) Decision {
	l.expire(now, rules.MaxConcurrentLoads, rules.LoadTimeout)
	claim, claimed := l.Claim(target)
	isHolder := claimed && claim.Holder == self
	if len(needed) == 0 {
		return l.rest(isHolder, claim, target)
	}
	if !isHolder {
		if claimed && now.Sub(claim.Seen) < rules.ClaimHold {
			return Decision{Step: StepWaitHold}
		}
		return Decision{Step: StepClaim}
	}
	d := Decision{Step: StepOrder, Order: needed[0], Epoch: claim.Epoch}
	d.Order.Epoch = claim.Epoch
	if now.Sub(claim.Seen) < rules.Lease+rules.ClockAllowance {
		d.Step = StepWaitLease
		return d
	}
	if FetchesWeights(d.Order.Kind) {
		d.Step = l.queueStep(target, rules.MaxConcurrentLoads)
	}
	return d
}

// rest gives a place in the queue back once nothing is needed any more.
func (l *Ledger) rest(isHolder bool, claim Claim, target string) Decision {
	if isHolder && l.place(target) >= 0 {
		return Decision{Step: StepLoaded, Epoch: claim.Epoch}
	}
	return Decision{Step: StepNone}
}

func (l *Ledger) queueStep(target string, places int) Step {
	place := l.place(target)
	if place < 0 {
		return StepQueue
	}
	if place >= places {
		return StepWaitSlot
	}
	return StepOrder
}
