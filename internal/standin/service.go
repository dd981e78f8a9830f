package standin

import (
	"context"
	"encoding/json"
	"maps"
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

// Runs counts by service and request ID how often a request ran.
type Runs struct {
	mu       sync.Mutex
	inFlight map[string]int
	counts   map[string]map[string]int
	results  map[string]map[string]port.ServiceResult
}

// NewRuns returns empty counts.
func NewRuns() *Runs {
	return &Runs{
		inFlight: make(map[string]int),
		counts:   make(map[string]map[string]int),
		results:  make(map[string]map[string]port.ServiceResult),
	}
}

// Of returns the counts of a service.
func (r *Runs) Of(service string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int, len(r.counts[service]))
	maps.Copy(counts, r.counts[service])
	return counts
}

func (r *Runs) add(service string, result port.ServiceResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[service] == nil {
		r.counts[service] = make(map[string]int)
		r.results[service] = make(map[string]port.ServiceResult)
	}
	r.counts[service][result.RequestID]++
	r.results[service][result.RequestID] = result
}

// enter notes that a request has come, and exit that it is over.
func (r *Runs) enter(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[requestID]++
}

func (r *Runs) exit(requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[requestID]--
	if r.inFlight[requestID] == 0 {
		delete(r.inFlight, requestID)
	}
}

// result returns the last result of a request. known is false while the
// request may yet run.
func (r *Runs) result(service, requestID string) (result port.ServiceResult, ran, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result, ran = r.results[service][requestID]
	return result, ran, ran || r.inFlight[requestID] == 0
}

// Service is a plain service at one target. It runs each request that reaches
// it, however often the same one comes.
type Service struct {
	options ServiceOptions

	mu          sync.Mutex
	running     int
	lostAnswers int
	hangs       int
	crashOn     string
	leaving     bool
	downUntil   time.Time
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
	if s.takeHang() {
		return port.ServiceResult{}, s.hang(ctx, crashed)
	}
	if err := s.work(crashed); err != nil {
		return port.ServiceResult{}, err
	}
	if s.crashesOn(call) {
		s.Crash()
		return port.ServiceResult{}, targetError(s.Name(), port.FailureBroken, ReasonCrashed)
	}
	result := resultOf(call)
	s.options.Runs.add(call.Service, result)
	if s.takeLostAnswer() {
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
	switch {
	case time.Now().Before(s.downUntil):
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

// work lets the service's time go by. A call whose caller hangs up goes on.
func (s *Service) work(crashed <-chan struct{}) error {
	timer := time.NewTimer(s.options.Latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-crashed:
		return targetError(s.Name(), port.FailureBroken, ReasonCrashed)
	}
}

// hang waits for the caller to give up.
func (s *Service) hang(ctx context.Context, crashed <-chan struct{}) error {
	select {
	case <-ctx.Done():
		return contextError(ctx, s.Name(), 0)
	case <-crashed:
		return targetError(s.Name(), port.FailureBroken, ReasonCrashed)
	}
}
