package configuration

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
)

// tail reads the stream until ctx ends.
func (s *Service) tail(ctx context.Context) {
	pause := s.newBackoff()
	for ctx.Err() == nil {
		if err := s.readPage(ctx); err != nil {
			s.logReadFailed(ctx, err)
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

func (s *Service) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = s.Settings.RetryLeast
	b.MaxInterval = s.Settings.RetryMost
	b.Reset()
	return b
}

func (s *Service) logReadFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.Metrics.Counter("log_read_failures").Inc(1)
	s.Logger.V(1).Info("read failed", "error", err.Error())
}

// readPage reads and applies the next records, if any come in time.
func (s *Service) readPage(ctx context.Context) error {
	from := s.replay.View().Next
	page, err := s.Log.Read(ctx, config.Stream, from, s.Settings.ReadWait)
	if err != nil {
		return err
	}
	s.replay.Begin(page.Oldest)
	for i := range page.Records {
		s.apply(&page.Records[i])
	}
	s.advance()
	return nil
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
