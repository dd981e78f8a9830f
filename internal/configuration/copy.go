package configuration

import (
	"context"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// copyKey orders the hosts by who publishes the version in force again.
const copyRankKey = 0

// keepCopied publishes the version in force again before it expires.
func (s *Service) runCopies(ctx context.Context) {
	plan := s.Settings.copyPlan()
	for ctx.Err() == nil {
		tail.Sleep(ctx, s.Settings.CopyInterval)
		view := s.view.Load()
		if plan.Due(time.Now(), *view, s.copyRank()) {
			s.appendCopy(ctx, view)
		}
	}
}

// rank returns how many live hosts come before this one.
func (s *Service) copyRank() int {
	self := s.Members.Self().ID
	own := partition.Score(copyRankKey, self)
	rank := 0
	for _, m := range s.Members.Table() {
		if m.ID != self && m.State == port.MemberAlive && partition.Score(copyRankKey, m.ID) > own {
			rank++
		}
	}
	return rank
}

// appendCopy appends one copy. A failed one is tried again on a later look,
// when the age of the newest copy that was read still asks for it.
func (s *Service) appendCopy(ctx context.Context, view *config.View) {
	data, err := config.NewCopy(view.Version, view.Next, view.Raw).Encode()
	if err != nil {
		s.Logger.Error(err, "copy not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.PublishTimeout)
	defer cancel()
	if _, err := s.Log.Append(ctx, config.Stream, [][]byte{data}); err != nil {
		s.Metrics.Counter("copy_failures").Inc(1)
		s.Logger.V(1).Info("copy failed", "version", view.Version, "error", err.Error())
		return
	}
	s.Metrics.Counter("copies").Inc(1)
}
