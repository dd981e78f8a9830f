package configuration

import (
	"context"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// copyRankKey is the key by which hosts are ranked for publishing copies.
const copyRankKey = 0

// runCopies publishes copies of the version in effect until ctx ends, so that the
// version does not expire from the log.
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

// copyRank returns the number of live hosts that rank before this one.
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

// appendCopy appends one copy. A failed append is retried at a later check if the
// newest copy that was read is still old enough.
func (s *Service) appendCopy(ctx context.Context, view *config.View) {
	data, err := config.NewCopy(view.Version, view.Next, view.Raw).Encode()
	if err != nil {
		s.Logger.Error(err, "Copy could not be encoded.")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.Settings.PublishTimeout)
	defer cancel()
	if _, err := s.Log.Append(ctx, config.Stream, [][]byte{data}); err != nil {
		s.Metrics.Counter("copy_failures").Inc(1)
		s.Logger.V(1).Info("Copy could not be appended.", "version", view.Version, "error", err.Error())
		return
	}
	s.Metrics.Counter("copies").Inc(1)
}
