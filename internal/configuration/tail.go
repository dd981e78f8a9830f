package configuration

import (
	"context"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// tail reads the stream until ctx ends.
func (s *Service) tail(ctx context.Context) {
	tail.Run(ctx, tail.Params{
		Log:           s.Log,
		Stream:        config.Stream,
		NextOffset:    func() int64 { return s.replay.View().Next },
		OnPage:        s.take,
		OnError:       s.readFailed,
		ReadWait:      s.Settings.ReadWait,
		MinRetryDelay: s.Settings.MinRetryDelay,
		MaxRetryDelay: s.Settings.MaxRetryDelay,
	})
}

func (s *Service) readFailed(err error) {
	s.Metrics.Counter("log_read_failures").Inc(1)
	s.Logger.V(1).Info("read failed", "error", err.Error())
}

// take applies the records of a page.
func (s *Service) take(page port.Page) {
	s.replay.SetOldest(page.Oldest)
	for i := range page.Records {
		s.apply(&page.Records[i])
	}
	s.advance()
}

// apply takes one record and tells the publication that waits for it.
func (s *Service) apply(r *port.Record) {
	event := s.replay.Apply(r.Offset, r.AppendedAt, r.Data)
	s.Metrics.Tagged(map[string]string{"outcome": string(event.Outcome)}).Counter("records").Inc(1)
	if event.Err != nil {
		s.Logger.Info("record skipped", "offset", r.Offset, "outcome", event.Outcome, "reason", event.Err.Error())
	}
	if event.Outcome != config.Taken {
		return
	}
	view := s.replay.View()
	s.offer(view.Version, view.Raw, view.Document, "log")
	s.resolve(event.ID, view.Version)
}

// advance makes the new view visible and wakes those who wait for it.
func (s *Service) advance() {
	view := s.replay.View()
	s.view.Store(&view)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.progress)
	s.progress = make(chan struct{})
}

// await waits until the view meets a condition.
func (s *Service) await(ctx context.Context, met func(*config.View) bool) (*config.View, error) {
	for {
		s.mu.Lock()
		progress := s.progress
		s.mu.Unlock()
		view := s.view.Load()
		if met(view) {
			return view, nil
		}
		select {
		case <-ctx.Done():
			return view, ctx.Err()
		case <-progress:
		}
	}
}
