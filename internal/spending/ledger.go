package spending

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
)

// errAway says that the log has not answered for some time.
var errUnavailable = errors.New("shared log is away")

// want is a turn that waits for a claim.
type waiter struct {
	program   string
	budget    int64
	maxTokens int64
	// alone asks for a claim that covers this turn and nothing else.
	isSingle bool
	// settled says that the turn has waited for other hosts' slices.
	hasWaited   bool
	reservation *reservation
	done        chan error
	isAbandoned bool
}

// ledger is the host's view of one partition of the claims, and its writer.
type ledger struct {
	shared       port.SharedLog
	partition    port.Partition
	writer       uint64
	log          logr.Logger
	metrics      *metrics
	writesDue    chan struct{}
	availability *availability
	// starts begins the ledger's work when it is first used.
	startOnce sync.Once
	isStarted atomic.Bool
	// isCurrent says that the host is among those that are told when a budget is nearly
	// claimed, and has read the partition to its end since it is. Others must not lend.
	isCurrent atomic.Bool
	// becomesReader says that it is reading for that.
	isCatchingUp atomic.Bool
	// allAway is until when the partition counts as away for all hosts.
	allUnavailableUntil atomic.Int64
	// reading lets one read at a time move the book on.
	readSlot chan struct{}
	// loansDue says that loans of other hosts may have to be claimed.
	loansDue chan struct{}
	// starting bounds the partitions that are read for the first time at once.
	firstReadSlots chan struct{}
	// onTight is called when claims leave less of a budget than may be lent of
	// it.
	onNearlyClaimed func(port.BudgetNote)
	// isHome says whether this host is the partition's home, isReader whether it
	// is to know what the partition holds.
	isPreferredHost, isReader func() bool

	mu       sync.Mutex
	book     *budget.Book
	slices   map[string]*slice
	releases map[string]*slice
	// loans are those of other hosts that may not be in the log yet.
	loans *budget.Loans
	// announced is what other hosts have read of the log's claims.
	notified map[string]notifiedClaims
	// stopped holds the programs whose budget is spent, and until when they
	// are refused without another look.
	stoppedUntil map[string]time.Time
	queue        []*waiter
	// applied is the offset up to which the book holds the log.
	applied  int64
	sequence uint64
	verdicts map[uint64]budget.Verdict
	// usual is the mean time of an append.
	meanAppend time.Duration
}

func newLedger(shared port.SharedLog, p port.Partition, writer uint64, log logr.Logger, m *metrics, starting chan struct{}) *ledger {
	l := &ledger{
		shared:          shared,
		partition:       p,
		writer:          writer,
		log:             log,
		metrics:         m,
		writesDue:       make(chan struct{}, 1),
		availability:    newAvailability(log, p.Part),
		readSlot:        make(chan struct{}, 1),
		firstReadSlots:  starting,
		onNearlyClaimed: func(port.BudgetNote) {},
		book:            budget.NewBook(),
		slices:          make(map[string]*slice),
		releases:        make(map[string]*slice),
		loans:           budget.NewLoans(),
		notified:        make(map[string]notifiedClaims),
		loansDue:        make(chan struct{}, 1),
		stoppedUntil:    make(map[string]time.Time),
		verdicts:        make(map[uint64]budget.Verdict),
	}
	l.availability.mustDetectRecovery = l.mustDetectRecovery
	return l
}

func (l *ledger) signalWriter() { signal(l.writesDue) }

// enqueue asks for a claim. It fails at once while the store is away.
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

func (l *ledger) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.isAbandoned = true
	if w.reservation != nil {
		// The claim was decided as the caller gave up.
		w.reservation.slice.End(w.maxTokens, 0)
	}
}

// isAway says whether the log does not even answer reads.
func (l *ledger) isUnavailable() bool { return l.availability.isUnavailable() }

// claimed returns how much of a program's budget is known to be claimed.
func (l *ledger) claimed(program string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claimedLocked(program)
}
