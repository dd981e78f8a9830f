package owner

import (
	"context"
	"time"
)

// bounded adds a timeout to a context; zero adds none.
func bounded(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

// modelTimeout returns the maximum time of one attempt of a model call, or 0 if it
// is not limited.
func (s *Service) modelTimeout(name string) time.Duration {
	m := s.params.Config.Current().Model(name)
	if m == nil {
		return 0
	}
	return milliseconds(m.TimeoutMS)
}

// serviceTimeout returns the maximum time of one attempt of a service call, or 0 if
// it is not limited.
func (s *Service) serviceTimeout(name, operation string) time.Duration {
	v := s.params.Config.Current().Service(name)
	if v == nil {
		return 0
	}
	for _, o := range v.Operations {
		if o.Name == operation && o.TimeoutMS > 0 {
			return milliseconds(o.TimeoutMS)
		}
	}
	return milliseconds(v.TimeoutMS)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// fitsContext reports whether a model's context holds that many tokens.
func (s *Service) fitsContext(name string, tokens int64) bool {
	m := s.params.Config.Current().Model(name)
	return m == nil || m.ContextTokens <= 0 || tokens <= m.ContextTokens
}

// fitsOutput reports whether a model can generate that many tokens.
func (s *Service) fitsOutput(name string, tokens int64) bool {
	m := s.params.Config.Current().Model(name)
	return m == nil || m.MaxOutputTokens <= 0 || tokens <= m.MaxOutputTokens
}
