package budget

// prefetchTurns is how many further turns a claim covers besides the one that
// needs it. Turns usually generate a fraction of their maximum, so one claim is
// enough for most programs.
const prefetchTurns = 2

// A claim takes at most one part in prefetchDivisor of the remaining budget for
// further turns, so that one host does not take what other hosts need. The
// preferred host of the program takes more, since it serves the turns of all
// hosts; so does any host with a slow log, where a claim costs more than the
// budget that it blocks.
const (
	prefetchDivisor      = 8
	largePrefetchDivisor = 3
)

// Slice is the part of a program's budget that one host holds. All amounts are
// in tokens. It is not safe for concurrent use.
type Slice struct {
	// Confirmed is the host's total in the log, as far as no claim in flight
	// can still lower it.
	Confirmed int64
	// Sequence is that of the host's latest claim.
	Sequence uint64
	// Lent may be spent in addition to Confirmed while the log is unavailable.
	Lent int64
	// Spent was delivered to callers; Open is the most that running turns may
	// still deliver.
	Spent, Open int64
}

// Confirm sets the total that the log holds for the host after one of its
// claims. It only applies to the latest claim: while that one may still reach
// the log, the total after an earlier one is not reliable.
func (s *Slice) Confirm(sequence uint64, held int64) {
	if sequence == s.Sequence {
		s.Confirmed = held
	}
}

// Begin reserves maxTokens for a turn. It returns false if the slice does not
// hold that many unused tokens.
func (s *Slice) Begin(maxTokens int64) bool {
	if s.Confirmed+s.Lent-s.Spent-s.Open < maxTokens {
		return false
	}
	s.Open += maxTokens
	return true
}

// BeginClaimed reserves maxTokens for a turn like Begin, of claimed tokens only. What was
// lent for an earlier turn may have been lent by another host since.
func (s *Slice) BeginClaimed(maxTokens int64) bool {
	if s.Confirmed-s.Spent-s.Open < maxTokens {
		return false
	}
	s.Open += maxTokens
	return true
}

// End releases the reservation of a turn that began with maxTokens and counts
// the tokens that it delivered as spent.
func (s *Slice) End(maxTokens, spent int64) {
	s.Open -= maxTokens
	s.Spent += spent
}

// Needed returns the total to claim for a further demand of maxTokens.
func (s *Slice) Needed(maxTokens int64) int64 { return s.Spent + s.Open + maxTokens }

// ClaimTotal returns the total to claim for a turn of maxTokens and some turns
// after it, given the total that all hosts have claimed. useLargeShare is set on
// the program's preferred host, or where claims take long.
func (s *Slice) ClaimTotal(maxTokens, budget, claimed int64, useLargeShare bool) int64 {
	needed := s.Needed(maxTokens)
	remaining := budget - claimed - (needed - s.Confirmed)
	divisor := int64(prefetchDivisor)
	if useLargeShare {
		divisor = largePrefetchDivisor
	}
	return needed + max(min(prefetchTurns*maxTokens, remaining/divisor), 0)
}

// lendDivisor bounds what may be lent without a claim to half of a budget, or
// to one turn if that is more. Two hosts that lend at the same time without
// knowledge of each other then stay within the budget.
const lendDivisor = 2

// Lend raises what may be spent without a claim so that a turn of maxTokens
// fits. claimed is the highest known total of all hosts' claims, and lent is
// what other hosts have lent. It returns false if the budget may not cover the
// turn.
func (s *Slice) Lend(maxTokens, budget, claimed, lent int64) bool {
	needed := max(s.Needed(maxTokens)-s.Confirmed, 0)
	if claimed+lent+needed > budget || lent+needed > lendLimit(maxTokens, budget) {
		return false
	}
	s.Lent = max(s.Lent, needed)
	return true
}

// MayLend reports whether Lend may succeed once the running turns have ended.
func (s *Slice) MayLend(maxTokens, budget, claimed, lent int64) bool {
	idle := *s
	idle.Open = 0
	return s.Open > 0 && idle.Lend(maxTokens, budget, claimed, lent)
}

// IsExhausted reports whether the tokens that this host alone has delivered
// leave less than maxTokens of the budget.
func (s *Slice) IsExhausted(maxTokens, budget int64) bool { return s.Spent+maxTokens > budget }

// lendLimit returns how much of a budget may be lent for turns of maxTokens.
func lendLimit(maxTokens, budget int64) int64 {
	return max(maxTokens, budget/lendDivisor)
}

// IsLendable reports whether a host that does not see the claims of others may
// lend up to its limit without exceeding the budget by more than one turn of
// maxTokens.
func IsLendable(maxTokens, budget, claimed int64) bool {
	return claimed+lendLimit(maxTokens, budget) <= budget+maxTokens
}

// Settle ends the loan. It returns the total to claim for the spent and the
// reserved tokens, and whether it exceeds the confirmed total.
func (s *Slice) Settle() (total int64, exceedsConfirmed bool) {
	s.Lent = 0
	return s.Needed(0), s.Needed(0) > s.Confirmed
}

// Unused returns the confirmed tokens that are neither spent nor reserved.
func (s *Slice) Unused() int64 { return max(s.Confirmed-s.Spent-s.Open, 0) }
