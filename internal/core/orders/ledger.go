package orders

import (
	"slices"
	"time"
)

// Claim is the right of one process to give orders to a target.
type Claim struct {
	Holder Holder
	// Epoch is the fencing number.
	Epoch int64
	// Seen is when this reader saw the claim, on its own clock.
	Seen time.Time
}

// load is a place in the queue of loads.
type load struct {
	target string
	epoch  int64
	// began is when this reader saw the load reach one of the first places.
	began time.Time
}

// Ledger is the replayed state of the stream. All readers of the same records
// have the same claims and the same queue.
type Ledger struct {
	next   int64
	claims map[string]Claim
	loads  []load
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{claims: make(map[string]Claim)} }

// Next returns the offset to read from.
func (l *Ledger) Next() int64 { return l.next }

// Claim returns the latest claim of a target; ok is false if there is none.
func (l *Ledger) Claim(target string) (c Claim, ok bool) {
	c, ok = l.claims[target]
	return c, ok
}

// Begin tells the oldest offset that the log still keeps.
func (l *Ledger) SetOldest(oldest int64) { l.next = max(l.next, oldest) }

// Apply takes the record at an offset, seen now. One that was applied before
// has no effect.
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
		l.queue(r)
	case KindLoaded:
		if r.Epoch == l.claims[r.Target].Epoch {
			l.dropLoads(r.Target)
		}
	}
	return nil
}

// queue adds a load, unless a later claim made it void or it is there already.
func (l *Ledger) queue(r Record) {
	if r.Epoch != l.claims[r.Target].Epoch || l.place(r.Target) >= 0 {
		return
	}
	l.loads = append(l.loads, load{target: r.Target, epoch: r.Epoch})
}

func (l *Ledger) dropLoads(target string) {
	l.loads = slices.DeleteFunc(l.loads, func(o load) bool { return o.target == target })
}

// place returns a target's place in the queue from 0 on, or -1.
func (l *Ledger) place(target string) int {
	return slices.IndexFunc(l.loads, func(o load) bool { return o.target == target })
}

// expire lets the first loads of the queue begin and drops those that began
// long ago, as when their steward died.
func (l *Ledger) expire(now time.Time, places int, timeout time.Duration) {
	for i := 0; i < min(places, len(l.loads)); {
		o := &l.loads[i]
		if o.began.IsZero() {
			o.began = now
		}
		if now.Sub(o.began) < timeout {
			i++
			continue
		}
		l.loads = slices.Delete(l.loads, i, i+1)
	}
}
