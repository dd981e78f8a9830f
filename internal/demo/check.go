package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// checkPause is the pause between two looks at the targets.
const checkPause = 50 * time.Millisecond

// check compares what the callers were told with the histories that the
// hosts give and with what the targets have counted.
func (d *demo) check(ctx context.Context) error {
	for _, p := range d.programs {
		turns, err := d.caller.History(ctx, p.id)
		if err != nil {
			return errors.Annotatef(err, "history of %s", p.name)
		}
		what := fmt.Sprintf("%s: history has its %d answers in order", p.name, len(p.answers))
		d.report.check(what, isHistoryOf(turns, p.answers))
	}
	runs := d.cluster.Platform().Runs
	d.report.check("the posting whose answer was lost ran once", runs.Of(standin.ServiceLedger)["inquiry-4"] == 1)
	d.report.check("the collection ran once", runs.Of(standin.ServiceBilling)["reshuffle-3"] == 1)
	d.report.check("no target holds memory for an ended program", d.isEvicted(ctx))
	return nil
}

// isHistoryOf says whether the turns are those of the answers, in order.
func isHistoryOf(turns []port.Turn, answers []port.Answer) bool {
	return slices.EqualFunc(turns, answers, func(t port.Turn, a port.Answer) bool {
		return t.Seq == a.Seq && t.RequestID == a.RequestID && t.TurnDigest == a.TurnDigest &&
			string(t.Output) == string(a.Output)
	})
}

// isEvicted waits until no target holds KV cache of the programs, or for the
// end of the demonstration.
func (d *demo) isEvicted(ctx context.Context) bool {
	for d.isHeld() {
		select {
		case <-time.After(checkPause):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (d *demo) isHeld() bool {
	states := d.cluster.Platform().Fleet.States()
	for _, p := range d.programs {
		for _, state := range states {
			if slices.Contains(state.KVPrograms, p.id) {
				return true
			}
		}
	}
	return false
}
