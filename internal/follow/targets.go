package follow

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/port"
)

const (
	// returnTime is how long after an outage of the store the records of
	// living targets may take to come back.
	returnTime = 2200 * time.Millisecond
	// lateLapse is how long after an outage records may still lapse because of
	// it. Later ones are gone because their targets are.
	lateLapse = 300 * time.Millisecond
	// maxWarnings bounds the log lines about unreadable records of one key.
	maxWarnings = 1024
)

// targets keeps the fleet in step with the targets' records.
type targets struct {
	decode  func(id string, value []byte) (fleet.Member, error)
	fleet   *fleet.Fleet
	started func(fleet.Member)
	log     logr.Logger
	count   tally.Gauge
	invalid tally.Counter
	// warned holds the keys whose records could not be read.
	warned map[string]bool
	// returnedAt is when the store answered again after the last outage; zero
	// without one.
	returnedAt time.Time
}

func (t *targets) reset(records []port.KeyedRecord) {
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Key] = true
		t.apply(r)
	}
	for _, id := range t.fleet.IDs() {
		if !seen[id] {
			t.gone(id)
		}
	}
}

func (t *targets) apply(r port.KeyedRecord) {
	if len(r.Value) == 0 {
		t.gone(r.Key)
		return
	}
	m, err := t.decode(r.Key, r.Value)
	if err != nil {
		t.invalid.Inc(1)
		if !t.warned[r.Key] && len(t.warned) < maxWarnings {
			t.warned[r.Key] = true
			t.log.Info("A target's record can't be read and is passed over.", "target", r.Key, "offset", r.Offset, "cause", err.Error())
		}
		return
	}
	change := t.fleet.Put(m)
	if change == fleet.Joined || change == fleet.Restarted {
		t.started(m)
	}
	if change != fleet.Unchanged {
		t.log.Info("Target changed.", "target", m.ID, "change", change.String(), "service", m.Service,
			"address", m.Address, "offset", r.Offset)
	}
}

// gone takes a target out, or waits for its return after an outage.
func (t *targets) gone(id string) {
	now := time.Now()
	change := fleet.Unchanged
	if !t.returnedAt.IsZero() && now.Sub(t.returnedAt) < lateLapse {
		change = t.fleet.MarkLapsed(id, t.returnedAt.Add(returnTime))
	} else {
		change = t.fleet.Remove(id)
	}
	if change != fleet.Unchanged {
		t.log.Info("Target changed.", "target", id, "change", change.String())
	}
}

func (t *targets) returned(now time.Time) { t.returnedAt = now }

func (t *targets) read(now time.Time) {
	t.count.Update(float64(len(t.fleet.IDs())))
	for _, id := range t.fleet.Expire(now) {
		t.log.Info("Target changed.", "target", id, "change", fleet.Removed.String())
	}
}
