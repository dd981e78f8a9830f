package spending

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// settlePollInterval is how often a settlement that waits for the log checks whether the
// log has become unavailable.
const settlePollInterval = 50 * time.Millisecond

// Release implements gateway.Reservation.
func (r *reservation) Release() {
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	r.end()
}

// errOverloaded says that the log has lately made this host call it less often.
var errOverloaded = errors.New("shared log is called too often")

// Settle implements gateway.Reservation. It fails at once while the log is unavailable or called
// too often: claims of turns that wait go first, and the answer need not wait for them.
func (r *reservation) Settle(ctx context.Context) error {
	l := r.ledger
	l.mu.Lock()
	settled := r.end()
	l.mu.Unlock()
	started := time.Now()
	ticker := time.NewTicker(settlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-settled:
			l.metrics.settlement.RecordDuration(time.Since(started))
			return nil
		default:
		}
		if l.isUnavailable() {
			l.metrics.lateSettlements.Inc(1)
			return errUnavailable
		}
		if l.isOverloaded() {
			l.metrics.lateSettlements.Inc(1)
			return errOverloaded
		}
		select {
		case <-settled:
		case <-ticker.C:
		case <-ctx.Done():
			l.metrics.lateSettlements.Inc(1)
			return errors.Trace(ctx.Err())
		}
	}
}

// end ends the turn and gives back what it has not spent. Until a claim says so, another
// run of the host would have to take all of the reservation for spent. The returned channel is
// closed when such a claim is in the log. The caller holds the ledger's mu.
func (r *reservation) end() <-chan struct{} {
	if r.settled != nil {
		return r.settled
	}
	l, s := r.ledger, r.slice
	s.End(r.maxTokens, r.spent)
	s.largestTurn = max(s.largestTurn, r.maxTokens)
	s.usedAt = time.Now()
	if s.Unused() == 0 && s.Needed(0) > s.Confirmed {
		l.log.Info("Turn spent more than it reserved.", "program", s.program, "reserved", r.maxTokens, "spent", r.spent)
	}
	settled := make(chan struct{})
	r.settled = settled
	isRecorded := s.Needed(0) == s.Confirmed && !s.isClaiming && !s.isUndecided
	if isRecorded || l.mayHoldAhead(s) {
		close(settled)
		return settled
	}
	s.settlements = append(s.settlements, settled)
	l.release(s)
	l.signalWriter()
	return settled
}

// settle ends the settlements that the claim covers.
func (p *pendingClaim) settle() {
	for _, settled := range p.settlements {
		close(settled)
	}
	p.settlements = nil
}

// settleLater leaves the settlements of a claim without effect to the slice's next claim.
// The caller holds l.mu.
func (l *ledger) settleLater(p *pendingClaim) {
	if len(p.settlements) == 0 {
		return
	}
	s := p.slice
	s.settlements = append(s.settlements, p.settlements...)
	p.settlements = nil
	l.release(s)
}
