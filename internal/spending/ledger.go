package spending

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
)

// errUnavailable says that the log has stopped answering reads.
var errUnavailable = errors.New("shared log is unavailable")

// waiter is a turn that waits for a claim.
type waiter struct {
	program   string
	budget    int64
	maxTokens int64
	// account is the writer to claim under, if the asking host has named one. It is zero if the
	// tokens are claimed for the host's own slice.
	account uint64
	// inDoubt says that budget is less than the program's, since loans may have been forgotten.
	inDoubt bool
	// isSingle asks for a claim that covers only this turn.
	isSingle bool
	// hasWaited says that the turn was refused once and has waited refusedRetryDelay
	// for other hosts to give back parts of their slices.
	hasWaited   bool
	reservation *reservation
	done        chan error
	isAbandoned bool
}

// ledger is this host's view of one partition of the claims, and the writer of this
// host's claims in it. mu guards the fields below it; methods that need it held say
// so.
type ledger struct {
	shared    port.SharedLog
	partition port.Partition
	writer    uint64
	// giveBackWriter is the writer of claims that give back tokens of hosts which ended.
	giveBackWriter uint64
	log            logr.Logger
	metrics        *metrics
	// writesDue signals runWriter that claims may have to be written.
	writesDue    chan struct{}
	availability *availability
	// startOnce starts the ledger's goroutines at its first use.
	startOnce sync.Once
	isStarted atomic.Bool
	// isRead says that the partition has been read to its end at least once.
	isRead atomic.Bool
	// isCurrent says that the host is one of the partition's readers, which are
	// notified when a budget is nearly claimed, and that it has read the partition to
	// its end since it became one. Other hosts must not lend.
	isCurrent atomic.Bool
	// isCatchingUp says that such a read is in progress.
	isCatchingUp atomic.Bool
	// foundUnavailable is this host's latest finding that no host reaches the partition; nil since one was found that may.
	foundUnavailable atomic.Pointer[finding]
	// readSlot admits one read at a time, since each read advances the book.
	readSlot chan struct{}
	// loansDue signals runLoanClaims that loans of other hosts may have to be
	// claimed.
	loansDue chan struct{}
	// initialReadSlots is shared by the host's ledgers and bounds how many partitions
	// are read for the first time at once.
	initialReadSlots chan struct{}
	// onNearlyClaimed receives the claimed tokens of a budget once loans of it might
	// no longer fit.
	onNearlyClaimed func(port.BudgetNote)
	// fenceLenders fences the other hosts that may lend, see fence.go.
	fenceLenders func(context.Context) fenceResult
	// learnLoans asks the other readers for the loans that they know, see doubt.go.
	learnLoans func(context.Context) bool
	// logUnavailableSince returns when the log as a whole became unavailable; zero if it did not.
	logUnavailableSince func() time.Time
	// onThrottled is called when the log has made this host call it less often. isOverloaded reports
	// whether it has done so lately.
	onThrottled  func()
	isOverloaded func() bool
	// isPreferredHost reports whether this host is the partition's preferred host,
	// isReader whether it reads the partition from the start.
	isPreferredHost, isReader func() bool

	mu     sync.Mutex
	book   *budget.Book
	slices map[string]*slice
	// releases holds the slices whose total is to be claimed anew.
	releases map[sliceKey]*slice
	// loans are those of other hosts that may not be in the log yet.
	loans *budget.Loans
	// following is what this host knows of the loans of the partition, role its place in the partition's
	// order.
	following following
	role      role
	// isMarking says that a mark is being appended, markedAt is when this host has last appended one.
	isMarking bool
	markedAt  time.Time
	// newestMark is when this host has made its latest mark, whether it has taken effect or not.
	newestMark time.Time
	// mayMark says that the lenders were fenced, as far as they answered, since this host may have missed an outage.
	mayMark bool
	// askedAt is when other readers were last asked for the loans that they know.
	askedAt time.Time
	// givenBack holds what this host has given back for hosts that ended, by program.
	givenBack map[string]givenBack
	// notified holds what other hosts have reported of claims in the log.
	notified map[string]notifiedClaims
	// stoppedUntil holds the programs whose budget is spent, and until when their
	// turns are refused without a further claim.
	stoppedUntil map[string]time.Time
	queue        []*waiter
	// hasFenced says that the lenders are fenced. fenceEpoch changes when they no longer
	// are.
	hasFenced  bool
	fenceEpoch uint64
	// fencedAt is when another host that reached the log last fenced this one.
	fencedAt time.Time
	// applied is the offset of the first record that the book does not include.
	applied  int64
	sequence uint64
	// verdicts holds the verdicts on this host's claims by sequence number, until
	// their turns are resolved.
	verdicts map[uint64]budget.Verdict
	// meanAppend is the moving average of append durations, appendedAt when it was last
	// updated.
	meanAppend time.Duration
	appendedAt time.Time
}

func newLedger(shared port.SharedLog, p port.Partition, writer uint64, log logr.Logger, m *metrics, initialReadSlots chan struct{}) *ledger {
	l := &ledger{
		shared:              shared,
		partition:           p,
		writer:              writer,
		giveBackWriter:      rand.Uint64(),
		log:                 log,
		metrics:             m,
		writesDue:           make(chan struct{}, 1),
		availability:        newAvailability(log, p.Part),
		readSlot:            make(chan struct{}, 1),
		initialReadSlots:    initialReadSlots,
		onNearlyClaimed:     func(port.BudgetNote) {},
		onThrottled:         func() {},
		isOverloaded:        func() bool { return false },
		fenceLenders:        func(context.Context) fenceResult { return fenceResult{} },
		book:                budget.NewBook(),
		slices:              make(map[string]*slice),
		releases:            make(map[sliceKey]*slice),
		loans:               budget.NewLoans(),
		logUnavailableSince: func() time.Time { return time.Time{} },
		learnLoans:          func(context.Context) bool { return false },
		givenBack:           make(map[string]givenBack),
		notified:            make(map[string]notifiedClaims),
		loansDue:            make(chan struct{}, 1),
		stoppedUntil:        make(map[string]time.Time),
		verdicts:            make(map[uint64]budget.Verdict),
	}
	l.availability.mustDetectRecovery = l.mustDetectRecovery
	return l
}

func (l *ledger) signalWriter() { signal(l.writesDue) }

// enqueue queues a turn for a claim. While the log is unavailable it returns
// errUnavailable and requests a probe.
func (l *ledger) enqueue(w *waiter) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isUnavailable() {
		l.availability.probeOnDemand()
		return errUnavailable
	}
	l.queue = append(l.queue, w)
	l.signalWriter()
	return nil
}

// abandon drops a turn whose caller no longer waits.
func (l *ledger) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.isAbandoned = true
	if w.reservation != nil {
		// The claim was accepted just as the caller gave up.
		w.reservation.end()
		return
	}
	l.releaseUndecided(l.slice(w.program, w.account))
}

// releaseUndecided gives back what the latest claim of a slice may have claimed, if
// that claim may still take effect and no turn waits for it. The caller holds l.mu.
func (l *ledger) releaseUndecided(s *slice) {
	if s == nil || !s.isUndecided || s.isClaiming {
		return
	}
	isAwaited := func(w *waiter) bool {
		return w.program == s.program && w.account == s.account && !w.isAbandoned
	}
	if !slices.ContainsFunc(l.queue, isAwaited) {
		l.release(s)
		l.signalWriter()
	}
}

// isUnavailable reports whether the log does not answer reads of the partition.
func (l *ledger) isUnavailable() bool { return l.availability.isUnavailable() }

// claimed returns how many tokens of a program's budget are known to be claimed.
func (l *ledger) claimed(program string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claimedLocked(program)
}
