package follow

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/port"
)

const (
	// restoreTime is how long after an outage of the store the records of running
	// targets may take to reappear.
	restoreTime = 2200 * time.Millisecond
	// lapseWindow is how long after an outage of the store a removed record is taken to
	// have lapsed because of the outage. Records that are removed later belong to
	// targets that have left.
	lapseWindow = 300 * time.Millisecond
	// maxWarnings limits how many keys with invalid records are logged.
	maxWarnings = 1024
)

// targets keeps the fleet up to date with the records of the targets.
type targets struct {
	decode  func(id string, value []byte) (fleet.Member, error)
	fleet   *fleet.Fleet
	started func(fleet.Member)
	// changed is called after a read that has changed the fleet, if isChanged is set.
	changed   func()
	isChanged bool
	log       logr.Logger
	count     tally.Gauge
	invalid   tally.Counter
	// warned contains the keys whose invalid records have been logged.
	warned map[string]bool
	// recoveredAt is when the store answered again after the last outage; zero if there
	// was none.
	recoveredAt time.Time
}

func (t *targets) reset(records []port.KeyedRecord) {
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key] = true
		t.apply(r)
	}
	for _, id := range t.fleet.IDs() {
		if !seen[id] {
			t.removeOrLapse(id)
		}
	}
}

func (t *targets) apply(r port.KeyedRecord) {
	if len(r.Value) == 0 {
		t.removeOrLapse(r.Key)
		return
	}
	m, err := t.decode(r.Key, r.Value)
	if err != nil {
		t.invalid.Inc(1)
		if !t.warned[r.Key] && len(t.warned) < maxWarnings {
			t.warned[r.Key] = true
			t.log.Info("Record of a target is invalid and was skipped.", "target", r.Key, "offset", r.Offset, "cause", err.Error())
		}
		return
	}
	change := t.fleet.Put(m)
	if change == fleet.Joined || change == fleet.Restarted {
		t.started(m)
	}
	if change != fleet.Unchanged {
		t.isChanged = true
		t.log.Info("Target changed.", "target", m.ID, "change", change.String(), "service", m.Service,
			"version", m.Version, "address", m.Address, "offset", r.Offset)
	}
}

// removeOrLapse removes a target, or keeps it until restoreTime has passed if its
// record may have lapsed because of an outage.
func (t *targets) removeOrLapse(id string) {
	now := time.Now()
	change := fleet.Unchanged
	if !t.recoveredAt.IsZero() && now.Sub(t.recoveredAt) < lapseWindow {
		change = t.fleet.MarkLapsed(id, t.recoveredAt.Add(restoreTime))
	} else {
		change = t.fleet.Remove(id)
	}
	if change != fleet.Unchanged {
		t.isChanged = true
		t.log.Info("Target changed.", "target", id, "change", change.String())
	}
}

func (t *targets) storeRecovered(now time.Time) { t.recoveredAt = now }

func (t *targets) afterRead(now time.Time) {
	t.count.Update(float64(len(t.fleet.IDs())))
	for _, id := range t.fleet.Expire(now) {
		t.isChanged = true
		t.log.Info("Target changed.", "target", id, "change", fleet.Removed.String())
	}
	if t.isChanged {
		t.isChanged = false
		t.changed()
	}
}
