package configuration

import (
	"context"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// tail follows the stream until ctx ends.
func (s *Service) tail(ctx context.Context) {
	tail.Run(ctx, tail.Params{
		Log:           s.Log,
		Stream:        config.Stream,
		NextOffset:    func() int64 { return s.replay.View().Next },
		OnPage:        s.applyPage,
		OnError:       s.handleReadError,
		ReadWait:      s.Settings.ReadWait,
		MinRetryDelay: s.Settings.MinRetryDelay,
		MaxRetryDelay: s.Settings.MaxRetryDelay,
	})
}

func (s *Service) handleReadError(err error) {
	s.Metrics.Counter("log_read_failures").Inc(1)
	s.Logger.V(1).Info("Log could not be read.", "error", err.Error())
}

// applyPage applies the records of a page.
func (s *Service) applyPage(page port.Page) {
	s.replay.SetOldest(page.Oldest)
	for i := range page.Records {
		s.applyRecord(&page.Records[i])
	}
	s.updateView()
}

// applyRecord applies one record and completes the publication that waits for it.
func (s *Service) applyRecord(r *port.Record) {
	event := s.replay.Apply(r.Offset, r.AppendedAt, r.Data)
	s.Metrics.Tagged(map[string]string{"outcome": string(event.Outcome)}).Counter("records").Inc(1)
	if event.Err != nil {
		s.Logger.Info("Record skipped.", "offset", r.Offset, "outcome", event.Outcome, "reason", event.Err.Error())
	}
	if event.Outcome != config.Taken {
		return
	}
	view := s.replay.View()
	s.storeIfNewer(view.Version, view.Raw, view.Document, "log")
	s.completePublication(event.ID, view.Version)
}

// updateView makes the new view visible and wakes those that wait for it.
func (s *Service) updateView() {
	view := s.replay.View()
	s.view.Store(&view)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.viewChanged)
	s.viewChanged = make(chan struct{})
}

// awaitView waits until the view meets a condition. If ctx ends first, it returns the
// latest view and the context's error.
func (s *Service) awaitView(ctx context.Context, met func(*config.View) bool) (*config.View, error) {
	for {
		s.mu.Lock()
		changed := s.viewChanged
		s.mu.Unlock()
		view := s.view.Load()
		if met(view) {
			return view, nil
		}
		select {
		case <-ctx.Done():
			return view, ctx.Err()
		case <-changed:
		}
	}
}
