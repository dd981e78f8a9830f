package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// ServiceOptions sets up a plain service at one target.
type ServiceOptions struct {
	// Name is the target's name.
	Name       string
	DataCentre string
	// Services lists what the target serves; none means all.
	Services []string
	Latency  time.Duration
	// CannotSay makes the target unable to tell whether a request ran.
	CannotSay bool
	// RestartAfter is how long a crashed target is down.
	RestartAfter time.Duration
	// Runs is where runs are counted; targets may share one.
	Runs *Runs
}

// Service is a plain service at one target. It runs each request that reaches
// it, however often the same one comes.
type Service struct {
	options ServiceOptions

	mu        sync.Mutex
	running   int
	crashOn   string
	leaving   bool
	downUntil time.Time
	// crashed is closed at the next crash.
	crashed chan struct{}
}

// NewService returns a service that is up.
func NewService(options ServiceOptions) *Service {
	options.RestartAfter = orDefault(options.RestartAfter, defaultRestart)
	if options.Runs == nil {
		options.Runs = NewRuns()
	}
	return &Service{options: options, crashed: make(chan struct{})}
}

// Name returns the target's name.
func (s *Service) Name() string { return s.options.Name }

// Runs returns how often each request of a service ran, at all targets that
// share the counts.
func (s *Service) Runs(service string) map[string]int { return s.options.Runs.Of(service) }

// receipt is the output of a service.
type receipt struct {
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	RequestID string          `json:"request_id"`
	Input     json.RawMessage `json:"input,omitempty"`
}

// Invoke runs a call. Its answer may be lost by a fault after it ran.
func (s *Service) Invoke(ctx context.Context, call port.ServiceCall) (port.ServiceResult, error) {
	crashed, err := s.enter(call)
	if err != nil {
		return port.ServiceResult{}, err
	}
	defer s.exit()
	s.options.Runs.enter(call.RequestID)
	defer s.options.Runs.exit(call.RequestID)
	if d, ok := s.options.Runs.takeHang(call.Service); ok {
		if err := s.hang(ctx, d, crashed); err != nil {
			return port.ServiceResult{}, err
		}
	}
	if err := s.pass(s.options.Latency, crashed); err != nil {
		return port.ServiceResult{}, err
	}
	if s.crashesOn(call) {
		s.Crash()
		return port.ServiceResult{}, targetError(s.Name(), port.FailureBroken, ReasonCrashed)
	}
	result := resultOf(call)
	s.options.Runs.add(call.Service, result)
	if s.options.Runs.takeLostAnswer(call.Service) {
		return port.ServiceResult{}, targetError(s.Name(), port.FailureBroken, ReasonLostAnswer)
	}
	return result, nil
}

// Outcome tells whether a request ran, if the service can say.
func (s *Service) Outcome(_ context.Context, service, requestID string) (port.ServiceResult, bool, bool, error) {
	s.mu.Lock()
	down := time.Now().Before(s.downUntil)
	s.mu.Unlock()
	if down {
		return port.ServiceResult{}, false, false, targetError(s.Name(), port.FailureRefused, ReasonDown)
	}
	if s.options.CannotSay {
		return port.ServiceResult{}, false, false, nil
	}
	result, ran, known := s.options.Runs.result(service, requestID)
	return result, ran, known, nil
}

func resultOf(call port.ServiceCall) port.ServiceResult {
	data, err := json.Marshal(receipt{call.Service, call.Operation, call.RequestID, call.Input})
	if err != nil {
		data = []byte("null")
	}
	return port.ServiceResult{RequestID: call.RequestID, Output: data}
}

// enter takes a call in and returns the channel that is closed at a crash.
func (s *Service) enter(call port.ServiceCall) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case !call.SendDeadline.IsZero() && now.After(call.SendDeadline):
		return nil, targetError(s.Name(), port.FailureRefused, ReasonLate)
	case now.Before(s.downUntil):
		return nil, targetError(s.Name(), port.FailureRefused, ReasonDown)
	case s.leaving:
		return nil, targetError(s.Name(), port.FailureDraining, ReasonLeaving)
	case !s.serves(call.Service):
		return nil, targetError(s.Name(), port.FailureRejected, ReasonOtherService)
	}
	s.running++
	return s.crashed, nil
}

func (s *Service) exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) serves(service string) bool {
	for _, name := range s.options.Services {
		if name == service {
			return true
		}
	}
	return len(s.options.Services) == 0
}

// pass lets time go by. A call whose caller hangs up goes on.
func (s *Service) pass(d time.Duration, crashed <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-crashed:
		return targetError(s.Name(), port.FailureBroken, ReasonCrashed)
	}
}

// hang waits for d, whether or not the caller stays. If d is zero it waits for
// the caller to give up.
func (s *Service) hang(ctx context.Context, d time.Duration, crashed <-chan struct{}) error {
	if d > 0 {
		return s.pass(d, crashed)
	}
	select {
	case <-ctx.Done():
		return contextError(ctx, s.Name(), 0)
	case <-crashed:
		return targetError(s.Name(), port.FailureBroken, ReasonCrashed)
	}
}
