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

// LoanRequest asks for tokens of a budget without a claim. All amounts are in tokens.
type LoanRequest struct {
	// MinTokens and MaxTokens bound what the turn takes.
	MinTokens, MaxTokens int64
	// Limit bounds what all hosts together lend of the budget, see LoanLimit.
	Limit  int64
	Budget int64
	// Claimed is the highest known total of all hosts' claims, Lent what other hosts have lent.
	Claimed, Lent int64
}

// loanDivisor is the part of a budget that may be lent.
const loanDivisor = 2

// LoanLimit returns how much of a budget all hosts together may lend while the log is unavailable, if
// the largest turn takes maxTokens.
//
// If all hosts that know of the loans end before the log is back, the loans are forgotten. Small loans
// then exceed the budget by no more than one turn. Large ones may be made once the log will show that loans
// may have been forgotten, so that CertainBudget bounds what is claimed.
func LoanLimit(maxTokens, budget int64, isLarge bool) int64 {
	if !isLarge {
		return maxTokens
	}
	return max(maxTokens, budget/loanDivisor)
}

// CertainBudget returns how much of a budget may be claimed in all if loans of it may have been
// forgotten. Together with these it exceeds the budget by no more than one turn of maxTokens.
func CertainBudget(maxTokens, budget int64) int64 {
	return budget - (LoanLimit(maxTokens, budget, true) - maxTokens)
}

// Lend raises what may be spent without a claim by a turn and returns how many tokens the turn gets:
// all that it asks for, or as many as the limit allows, but at least MinTokens. It returns zero if
// there are fewer, or if the budget may not cover all that the turn asks for. accounts is what the
// host holds for others of the same budget.
func (s *Slice) Lend(r LoanRequest, accounts Slice) int64 {
	granted := s.loanFor(r, accounts)
	if granted > 0 {
		s.Lent = max(s.Lent, s.Needed(granted)-s.Confirmed)
	}
	return granted
}

// MayLend reports whether Lend may succeed once the running turns have ended.
func (s *Slice) MayLend(r LoanRequest, accounts Slice) bool {
	idle := *s
	idle.Open, accounts.Open = 0, 0
	return idle.loanFor(r, accounts) > 0
}

func (s *Slice) loanFor(r LoanRequest, accounts Slice) int64 {
	// What a turn of an account has left of its claim fits the budget once more.
	held := s.plus(accounts)
	if r.Claimed+r.Lent+max(held.Needed(r.MaxTokens)-held.Confirmed, 0) > r.Budget {
		return 0
	}
	granted := min(r.MaxTokens, r.Limit-r.Lent-(s.Needed(0)-s.Confirmed))
	if granted < r.MinTokens {
		return 0
	}
	return granted
}

// plus returns a slice that holds the tokens of both.
func (s *Slice) plus(other Slice) Slice {
	sum := *s
	sum.Confirmed += other.Confirmed
	sum.Spent += other.Spent
	sum.Open += other.Open
	return sum
}

// IsExhausted reports whether the tokens that this host alone has delivered, also of accounts,
// leave less than maxTokens of the budget.
func (s *Slice) IsExhausted(maxTokens, budget int64, accounts Slice) bool {
	return s.Spent+accounts.Spent+maxTokens > budget
}

// IsNearlyClaimed reports whether hosts that may lend have to know of the claims of a budget: what
// they may lend might exceed it by more than one turn of maxTokens.
func IsNearlyClaimed(maxTokens, budget, claimed int64) bool {
	return claimed+LoanLimit(maxTokens, budget, true) > budget+maxTokens
}

// Settle ends the loan. It returns the total to claim for the spent and the
// reserved tokens, and whether it exceeds the confirmed total.
func (s *Slice) Settle() (total int64, exceedsConfirmed bool) {
	s.Lent = 0
	return s.Needed(0), s.Needed(0) > s.Confirmed
}

// Unused returns the confirmed tokens that are neither spent nor reserved.
func (s *Slice) Unused() int64 { return max(s.Confirmed-s.Spent-s.Open, 0) }
