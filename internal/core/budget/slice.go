package budget

// turnsAhead is how many further turns a claim asks for beside the one that
// needs it. Turns generate a fraction of the most that they may, so that one
// claim lasts for most programs.
const turnsAhead = 2

// shareAhead bounds what is asked for ahead to this part of what is left of
// the budget, so that one host does not take what others need. The program's
// home takes more, since it serves the turns of all hosts; so does any host with
// a slow log, where a claim costs more than the room it takes.
const (
	shareAhead     = 8
	homeShareAhead = 3
)

// Slice is what one host holds of a program's budget. It is not safe for
// concurrent use.
type Slice struct {
	// Confirmed is the host's total in the log, as far as it may be relied on.
	Confirmed int64
	// Sequence is that of the host's latest claim.
	Sequence uint64
	// Lent may be spent beyond what is confirmed, while the log is away.
	Lent int64
	// Spent was handed to callers; Open is the most that running turns may
	// still hand out.
	Spent, Open int64
}

// Confirm takes what the log holds for the host after one of its claims.
// Only the latest claim counts: while it may still arrive, what an earlier one
// left in the log can't be relied on.
func (s *Slice) Confirm(sequence uint64, held int64) {
	if sequence == s.Sequence {
		s.Confirmed = held
	}
}

// Begin starts a turn of at most most tokens if the slice holds it.
func (s *Slice) Begin(most int64) bool {
	if s.Confirmed+s.Lent-s.Spent-s.Open < most {
		return false
	}
	s.Open += most
	return true
}

// End ends a turn that was begun with most and handed out spent.
func (s *Slice) End(most, spent int64) {
	s.Open -= most
	s.Spent += spent
}

// Needed returns the total to claim for turns of most tokens together.
func (s *Slice) Needed(most int64) int64 { return s.Spent + s.Open + most }

// Ahead returns the total to claim for a turn of most tokens and some that
// may follow, where the claims of all hosts are known to be claimed.
// isGenerous says that the host is the program's home, or that claims take long.
func (s *Slice) ClaimTotal(most, budget, claimed int64, isGenerous bool) int64 {
	needed := s.Needed(most)
	left := budget - claimed - (needed - s.Confirmed)
	share := int64(shareAhead)
	if isGenerous {
		share = homeShareAhead
	}
	return needed + max(min(turnsAhead*most, left/share), 0)
}

// lendShare bounds what may be lent without a claim to this part of a budget,
// but for one turn. Two hosts that lend at the same time, each unaware of the
// other, then stay within it.
const lendShare = 2

// Lend raises what may be spent without a claim so that a turn of most tokens
// fits, where claimed is the most that is known to be claimed by all hosts and
// lent what other hosts have lent. It returns false if the budget may not hold
// the turn.
func (s *Slice) Lend(most, budget, claimed, lent int64) bool {
	needed := max(s.Needed(most)-s.Confirmed, 0)
	if claimed+lent+needed > budget || lent+needed > lendable(most, budget) {
		return false
	}
	s.Lent = max(s.Lent, needed)
	return true
}

// MayLend says whether Lend may succeed when the turns under way have ended.
func (s *Slice) MayLend(most, budget, claimed, lent int64) bool {
	idle := *s
	idle.Open = 0
	return s.Open > 0 && idle.Lend(most, budget, claimed, lent)
}

// IsExhausted says whether what this host alone has handed out leaves no room
// for a turn of most tokens in the budget.
func (s *Slice) IsExhausted(most, budget int64) bool { return s.Spent+most > budget }

// lendable returns how much may be lent of a budget for turns of most tokens.
func lendable(most, budget int64) int64 {
	return max(most, budget/lendShare)
}

// IsLendable says whether a host that does not know of what is claimed may lend
// all that it would, and the budget is exceeded by one turn of most tokens at
// most.
func IsLendable(most, budget, claimed int64) bool {
	return claimed+lendable(most, budget) <= budget+most
}

// Settle ends the loan. It returns the total to claim for what was spent and
// is still open, and whether that is more than is confirmed.
func (s *Slice) Settle() (total int64, isMore bool) {
	s.Lent = 0
	return s.Needed(0), s.Needed(0) > s.Confirmed
}

// Unused returns how much of the slice no turn needs.
func (s *Slice) Unused() int64 { return max(s.Confirmed-s.Spent-s.Open, 0) }
