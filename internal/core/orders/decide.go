package orders

import (
	"time"

	"yuccausher/internal/port"
)

// Rules are the durations and limits that lease holders follow.
type Rules struct {
	// Lease is how long a lease holder may act on its claim after it last read
	// to the end of the stream.
	Lease time.Duration
	// ClockAllowance is how long a new lease holder waits beyond the lease,
	// because clocks run at slightly different rates.
	ClockAllowance time.Duration
	// ClaimHold is the minimum age at which another host may replace a claim. It
	// keeps two hosts that both consider themselves the preferred host from
	// replacing each other's claims continuously.
	ClaimHold time.Duration
	// MaxConcurrentLoads is the maximum number of targets that fetch weights
	// at the same time.
	MaxConcurrentLoads int
	// LoadTimeout is the maximum time that a target holds a load slot.
	LoadTimeout time.Duration
}

// Defaults returns the default rules.
func Defaults() Rules {
	return Rules{
		Lease:              5 * time.Second,
		ClockAllowance:     100 * time.Millisecond,
		ClaimHold:          15 * time.Second,
		MaxConcurrentLoads: 4,
		LoadTimeout:        2 * time.Minute,
	}
}

// Step is the next action of the preferred host of a target.
type Step string

// Steps returned by Decide.
const (
	// StepNone: the target already reports the desired state.
	StepNone Step = "none"
	// StepClaim: append a claim.
	StepClaim Step = "claim"
	// StepWaitHold: wait until another host's claim is at least ClaimHold old.
	StepWaitHold Step = "hold"
	// StepWaitLease: wait until the lease of an earlier lease holder has expired.
	StepWaitLease Step = "lease"
	// StepQueue: append a load record.
	StepQueue Step = "queue"
	// StepWaitSlot: wait until the queued load reaches one of the load slots.
	StepWaitSlot Step = "place"
	// StepOrder: send the order to the target.
	StepOrder Step = "order"
	// StepLoaded: append a loaded record, which releases the load slot.
	StepLoaded Step = "loaded"
)

// Decision is the next step and the order that it prepares or sends.
type Decision struct {
	Step  Step
	Order port.Order
	// Epoch is the epoch of the claim under which the step is taken, or 0 if
	// the step needs no claim.
	Epoch int64
}

// Decide returns the next step of self, the preferred host of a target. needed
// lists the orders that the target still needs. Decide first expires loads
// that have exceeded rules.LoadTimeout.
func (l *Ledger) Decide(now time.Time, rules Rules, self Holder, target string, needed []port.Order) Decision {
	l.expire(now, rules.MaxConcurrentLoads, rules.LoadTimeout)
	claim, claimed := l.Claim(target)
	isHolder := claimed && claim.Holder == self
	if len(needed) == 0 {
		return l.idleStep(isHolder, claim, target)
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

// idleStep returns the step for a target that needs no orders: StepLoaded if
// the claim's holder still has a load in the queue, otherwise StepNone.
func (l *Ledger) idleStep(isHolder bool, claim Claim, target string) Decision {
	if isHolder && l.queuePosition(target) >= 0 {
		return Decision{Step: StepLoaded, Epoch: claim.Epoch}
	}
	return Decision{Step: StepNone}
}

func (l *Ledger) queueStep(target string, slots int) Step {
	position := l.queuePosition(target)
	if position < 0 {
		return StepQueue
	}
	if position >= slots {
		return StepWaitSlot
	}
	return StepOrder
}
