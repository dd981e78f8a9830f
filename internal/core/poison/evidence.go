package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// correlationTime is the time within which crashes count once for a wide feature: when
// several targets fail together, a frequent path is in flight at all of them, and hosts
// detect that within their probe delay of 50 ms. A request that is passed on takes longer
// to crash the next target.
const correlationTime = 100 * time.Millisecond

// IsWide reports whether requests with different bodies share a feature of the kind.
func (k Kind) IsWide() bool { return k >= Session }

// run identifies a crash. At is set only if the run of the target is not known.
type run struct {
	target string
	run    int64
	at     int64
}

func (m Mark) crash() run {
	key := m.CrashKey()
	return run{key.Target, key.Run, key.At}
}

// Ruling is a change of the verdict on a feature, with the evidence for and against it.
type Ruling struct {
	Feature
	// IsQuarantined is false if the feature was released.
	IsQuarantined bool
	// Crashes is the number of crashes with the feature in flight, Unexplained that of those
	// which no other quarantined feature explains.
	Crashes, Unexplained int
	// Answers is how often a complete answer has dropped earlier marks of the feature.
	Answers int
	// First and Last are the times of its first and last crash, in nanoseconds since 1970.
	First, Last int64
}

// account is the evidence on a feature.
type account struct {
	Feature
	marks         []Mark
	isQuarantined bool
}

// Evidence finds the features of requests that explain crashes of targets. The crashes that a
// quarantined feature explains do not count against others, so that requests that were only in
// flight beside it are released. Its result depends on the marks, not on their order. It is
// not safe for concurrent use.
type Evidence struct {
	crashLimit int
	accounts   *lru.Cache[uint64, *account]
	// answers counts, by fingerprint, the answers that have dropped marks.
	answers *lru.Cache[uint64, int]
	// isChanged is set if marks of a feature with at least crashLimit of them have changed.
	isChanged bool
	// quarantined is the number of quarantined features.
	quarantined int
}

// NewEvidence returns evidence without marks. A feature needs crashLimit crashes to be quarantined.
func NewEvidence(crashLimit int) *Evidence {
	accounts, _ := lru.New[uint64, *account](2 * maxFingerprints)
	answers, _ := lru.New[uint64, int](maxFingerprints)
	return &Evidence{crashLimit: crashLimit, accounts: accounts, answers: answers}
}

// Verdict returns how requests with a feature may run.
func (e *Evidence) Verdict(fingerprint uint64) Verdict {
	a, ok := e.accounts.Peek(fingerprint)
	switch {
	case !ok:
		return Clean
	case a.isQuarantined:
		return Quarantined
	}
	return Suspect
}

// Len returns the numbers of suspect and of quarantined features.
func (e *Evidence) Len() (suspects, quarantined int) {
	return e.accounts.Len() - e.quarantined, e.quarantined
}

// CanClear reports whether a complete answer drops marks of a feature: quarantined contents have
// to stay, while an answer shows that a wide feature is not the cause by itself.
func (e *Evidence) CanClear(fingerprint uint64) bool {
	a, ok := e.accounts.Peek(fingerprint)
	return ok && (a.Kind.IsWide() || !a.isQuarantined)
}

// Add adds a mark. Call Assess after the last mark of a crash.
func (e *Evidence) Add(m Mark) {
	a, ok := e.accounts.Get(m.Fingerprint)
	if !ok {
		a = &account{Feature: Feature{Kind: m.Kind, Fingerprint: m.Fingerprint}}
		if e.accounts.Len() == 2*maxFingerprints {
			e.evict()
		}
		e.accounts.Add(m.Fingerprint, a)
	}
	// A host of an earlier build drops the kind of a mark that it relays.
	a.Kind = max(a.Kind, m.Kind)
	if slices.ContainsFunc(a.marks, func(known Mark) bool { return known.crash() == m.crash() }) {
		return
	}
	a.marks = append(a.marks, m)
	a.marks = a.marks[max(0, len(a.marks)-maxMarks):]
	e.isChanged = e.isChanged || len(a.marks) >= e.crashLimit
}

// evict drops the account that was marked least recently.
func (e *Evidence) evict() {
	if _, a, ok := e.accounts.RemoveOldest(); ok && a.isQuarantined {
		e.quarantined--
	}
}

// Answered drops the marks of a feature that CanClear allows to drop, and returns them.
func (e *Evidence) Answered(fingerprint uint64) []Mark {
	if !e.CanClear(fingerprint) {
		return nil
	}
	a, _ := e.accounts.Peek(fingerprint)
	n, _ := e.answers.Get(fingerprint)
	e.answers.Add(fingerprint, n+1)
	marks := a.marks
	e.replace(a, nil)
	return marks
}

// Remove drops the marks of a feature for which isRemoved returns true. It returns their number.
func (e *Evidence) Remove(fingerprint uint64, isRemoved func(Mark) bool) int {
	a, ok := e.accounts.Peek(fingerprint)
	if !ok {
		return 0
	}
	kept := slices.DeleteFunc(slices.Clone(a.marks), isRemoved)
	removed := len(a.marks) - len(kept)
	if removed > 0 {
		e.replace(a, kept)
	}
	return removed
}

// replace replaces the marks of an account.
func (e *Evidence) replace(a *account, marks []Mark) {
	e.isChanged = e.isChanged || len(a.marks) >= e.crashLimit
	a.marks = marks
	if len(marks) > 0 {
		return
	}
	e.accounts.Remove(a.Fingerprint)
	if a.isQuarantined {
		e.quarantined--
	}
}

// Assess decides anew which features are quarantined and returns the changes, in the order of the
// fingerprints.
func (e *Evidence) Assess() []Ruling {
	if !e.isChanged {
		return nil
	}
	e.isChanged = false
	var candidates []*account
	for _, a := range e.accounts.Values() {
		if len(a.marks) >= e.crashLimit {
			candidates = append(candidates, a)
		}
	}
	named, explained := e.name(candidates)
	var rulings []Ruling
	for _, a := range e.accounts.Values() {
		if a.isQuarantined == named[a] {
			continue
		}
		a.isQuarantined = named[a]
		rulings = append(rulings, e.ruling(a, explained))
	}
	e.quarantined = len(named)
	slices.SortFunc(rulings, func(a, b Ruling) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return rulings
}

func (e *Evidence) ruling(a *account, explained map[run]*account) Ruling {
	answers, _ := e.answers.Peek(a.Fingerprint)
	r := Ruling{Feature: a.Feature, IsQuarantined: a.isQuarantined, Crashes: len(a.marks), Answers: answers}
	for i, m := range a.marks {
		if by := explained[m.crash()]; by == nil || by == a {
			r.Unexplained++
		}
		if i == 0 || m.At < r.First {
			r.First = m.At
		}
		r.Last = max(r.Last, m.At)
	}
	return r
}

// name returns the accounts to quarantine, and for each crash the account that explains it.
func (e *Evidence) name(candidates []*account) (map[*account]bool, map[run]*account) {
	named, explained := map[*account]bool{}, map[run]*account{}
	for {
		best := e.strongest(candidates, explained)
		if best == nil {
			break
		}
		unexplained := map[run]bool{}
		for _, m := range best.marks {
			if explained[m.crash()] == nil {
				unexplained[m.crash()] = true
			}
		}
		for _, a := range candidates {
			// Nothing tells features apart that were in flight at the same crashes, and that no
			// answer has cleared since: if one of them were chosen and another the cause, more
			// targets than allowed would crash until that shows.
			if a.Kind.IsWide() == best.Kind.IsWide() && maps.Equal(unexplained, openCrashes(a, explained)) {
				named[a] = true
			}
		}
		for c := range unexplained {
			explained[c] = best
		}
	}
	// A content stays in quarantine while one of its crashes has no other explanation: the
	// crashes of another cause must not release it.
	for _, a := range candidates {
		named[a] = named[a] || !a.Kind.IsWide() && len(openCrashes(a, explained)) > 0
		if !named[a] {
			delete(named, a)
		}
	}
	return named, explained
}

// openCrashes returns the crashes of an account that no account explains.
func openCrashes(a *account, explained map[run]*account) map[run]bool {
	open := map[run]bool{}
	for _, m := range a.marks {
		if explained[m.crash()] == nil {
			open[m.crash()] = true
		}
	}
	return open
}

// strongest returns the account that explains most of the crashes that are left, of those with
// equal numbers the narrowest. It returns nil if none explains
// crashLimit of them.
func (e *Evidence) strongest(candidates []*account, explained map[run]*account) *account {
	var best *account
	bestScore := 0
	for _, a := range candidates {
		crashes, n := countCrashes(a, explained)
		if crashes < e.crashLimit || a.Kind.IsWide() && n < e.crashLimit {
			continue
		}
		isBetter := best == nil || cmp.Or(cmp.Compare(n, bestScore), cmp.Compare(best.Kind, a.Kind), cmp.Compare(best.Fingerprint, a.Fingerprint)) > 0
		if isBetter {
			best, bestScore = a, n
		}
	}
	return best
}

// countCrashes returns the number of crashes that an account explains and no other does, and the
// same with those that lie within correlationTime counted once.
func countCrashes(a *account, explained map[run]*account) (crashes, separate int) {
	var times []int64
	for _, m := range a.marks {
		if explained[m.crash()] == nil {
			times = append(times, m.At)
		}
	}
	slices.Sort(times)
	var counted int64
	for _, at := range times {
		if separate == 0 || at-counted >= int64(correlationTime) {
			separate, counted = separate+1, at
		}
	}
	return len(times), separate
}
