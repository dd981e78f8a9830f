package standin

import (
	"maps"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// Runs counts by service and request ID how often a request ran. It also
// keeps the faults that strike a service at whichever target comes first.
type Runs struct {
	mu       sync.Mutex
	inFlight map[string]int
	counts   map[string]map[string]int
	results  map[string]map[string]port.ServiceResult
	faults   map[string]*serviceFaults
}

type serviceFaults struct {
	lostAnswers int
	hangs       int
	hangTime    time.Duration
}

// NewRuns returns empty counts.
func NewRuns() *Runs {
	return &Runs{
		inFlight: make(map[string]int),
		counts:   make(map[string]map[string]int),
		results:  make(map[string]map[string]port.ServiceResult),
		faults:   make(map[string]*serviceFaults),
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

// LoseAnswers makes the next n calls of a service run and then break the
// connection.
func (r *Runs) LoseAnswers(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultsOf(service).lostAnswers = n
}

// Hang makes the next n calls of a service hang for d before they run. With a
// zero d they hang until their callers give up, and never run.
func (r *Runs) Hang(service string, n int, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faultsOf(service)
	f.hangs, f.hangTime = n, d
}

// faultsOf returns the faults of a service. The lock must be held.
func (r *Runs) faultsOf(service string) *serviceFaults {
	f := r.faults[service]
	if f == nil {
		f = &serviceFaults{}
		r.faults[service] = f
	}
	return f
}

func (r *Runs) takeHang(service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faultsOf(service)
	return f.hangTime, take(&f.hangs)
}

func (r *Runs) takeLostAnswer(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return take(&r.faultsOf(service).lostAnswers)
}

// take counts n down and says whether it was above zero.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
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
