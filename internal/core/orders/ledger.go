package orders

import (
	"slices"
	"time"
)

// Claim gives one process the right to send orders to a target.
type Claim struct {
	Holder Holder
	// Epoch is the fencing number of orders sent under the claim.
	Epoch int64
	// Seen is when this reader applied the claim, on its own clock.
	Seen time.Time
}

// queuedLoad is one entry in the queue of loads.
type queuedLoad struct {
	target string
	epoch  int64
	// startedAt is when this reader found the load in one of the load slots, on
	// its own clock; it is zero before that.
	startedAt time.Time
}

// Ledger is the state replayed from the stream. Readers that have applied the
// same records have the same claims and the same queued loads, except for loads
// that they have expired by their own clocks. Ledger is not safe for concurrent
// use.
type Ledger struct {
	next      int64
	claims    map[string]Claim
	loadQueue []queuedLoad
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{claims: make(map[string]Claim)} }

// Next returns the next offset to read.
func (l *Ledger) Next() int64 { return l.next }

// Claim returns the latest claim of a target; ok is false if there is none.
func (l *Ledger) Claim(target string) (c Claim, ok bool) {
	c, ok = l.claims[target]
	return c, ok
}

// SetOldest sets the oldest offset that the log still keeps. Offsets before it
// are skipped.
func (l *Ledger) SetOldest(oldest int64) { l.next = max(l.next, oldest) }

// Apply applies the record at an offset, read at now. A record that was applied
// before has no effect. The error is a *RecordError for an invalid record, which
// is skipped.
func (l *Ledger) Apply(offset int64, data []byte, now time.Time) error {
	if offset < l.next {
		return nil
	}
	l.next = offset + 1
	r, err := decodeRecord(data)
	if err != nil {
		return err
	}
	switch r.Kind {
	case KindClaim:
		l.claims[r.Target] = Claim{Holder: r.Holder, Epoch: offset + 1, Seen: now}
		l.dropLoads(r.Target)
	case KindLoad:
		l.enqueue(r)
	case KindLoaded:
		if r.Epoch == l.claims[r.Target].Epoch {
			l.dropLoads(r.Target)
		}
	}
	return nil
}

// enqueue adds a load unless a later claim made it void or the target has one
// in the queue already.
func (l *Ledger) enqueue(r Record) {
	if r.Epoch != l.claims[r.Target].Epoch || l.queuePosition(r.Target) >= 0 {
		return
	}
	l.loadQueue = append(l.loadQueue, queuedLoad{target: r.Target, epoch: r.Epoch})
}

func (l *Ledger) dropLoads(target string) {
	l.loadQueue = slices.DeleteFunc(l.loadQueue, func(q queuedLoad) bool { return q.target == target })
}

// queuePosition returns the zero-based position of a target in the queue, or -1
// if it is not queued.
func (l *Ledger) queuePosition(target string) int {
	return slices.IndexFunc(l.loadQueue, func(q queuedLoad) bool { return q.target == target })
}

// expire starts the loads at the first slots positions of the queue. It removes
// loads that started at least timeout ago, which happens when their lease holder
// died before it appended a loaded record.
func (l *Ledger) expire(now time.Time, slots int, timeout time.Duration) {
	for i := 0; i < min(slots, len(l.loadQueue)); {
		q := &l.loadQueue[i]
		if q.startedAt.IsZero() {
			q.startedAt = now
		}
		if now.Sub(q.startedAt) < timeout {
			i++
			continue
		}
		l.loadQueue = slices.Delete(l.loadQueue, i, i+1)
	}
}
