package app

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yuccausher/internal/entry"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

const (
	// balancerInterval is the time between the load balancer's readiness checks.
	balancerInterval = 500 * time.Millisecond
	// callsPerProgram is the number of calls of a program. Every third call is a
	// posting that must not be repeated.
	callsPerProgram = 9
	// maxAttempts bounds how often a caller sends a request. It is large enough for
	// the longest outage of the tests.
	maxAttempts = 6000
)

// load is a set of callers, each of which runs one program after the other.
type load struct {
	fleet *testFleet
	ready atomic.Pointer[[]*process]
	stop  atomic.Bool
	tasks sync.WaitGroup

	mu       sync.Mutex
	phase    string
	times    map[string][]time.Duration
	retries  map[fault.Type]int
	failures []string
	programs int
	// postings maps the requests that must not be repeated to whether they
	// were answered.
	postings map[string]bool
	// lostPostings counts the postings whose outcome stays unknown.
	lostPostings int
	// retriesUnknown makes callers also retry, under the same request ID, after a
	// refusal that leaves open whether the request ran.
	retriesUnknown bool
}

func newLoad(f *testFleet, callers int, insists bool) *load {
	l := &load{fleet: f, phase: "before", times: make(map[string][]time.Duration), retries: make(map[fault.Type]int), postings: make(map[string]bool), retriesUnknown: insists}
	l.refreshReady()
	l.tasks.Go(func() {
		for !l.stop.Load() {
			time.Sleep(balancerInterval)
			l.refreshReady()
		}
	})
	for i := range callers {
		l.tasks.Go(func() { l.caller(i) })
	}
	return l
}

// refreshReady finds the ready hosts, as a load balancer does.
func (l *load) refreshReady() {
	var ready []*process
	for _, h := range l.fleet.hosts {
		if p := h.process.Load(); p != nil && p.ready() {
			ready = append(ready, p)
		}
	}
	l.ready.Store(&ready)
}

func (l *load) finish() {
	l.stop.Store(true)
	l.tasks.Wait()
}

func (l *load) setPhase(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phase
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}

func (l *load) caller(i int) {
	random := rand.New(rand.NewPCG(uint64(i), 1))
	for n := 0; !l.stop.Load(); n++ {
		l.program(random, fmt.Sprintf("p-%d-%d", i, n))
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
}

// program runs one program to its end and checks its history.
func (l *load) program(random *rand.Rand, name string) {
	spec := port.ProgramSpec{Organisation: standin.OrganisationAnnuities, Agent: standin.AgentInquiry, BudgetTokens: 1_000_000, RequestID: name}
	view, err := retryRequest(l, random, func(ctx context.Context, r *entry.Router) (port.ProgramView, error) { return r.Open(ctx, spec) })
	if err != nil {
		l.fail("open %s: %v", name, err)
		return
	}
	for seq := int64(1); seq <= callsPerProgram; seq++ {
		call := callOf(view.ProgramID, name, seq)
		if !l.call(random, call) {
			return
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	l.checkHistory(random, view.ProgramID, name)
	if _, err := retryRequest(l, random, func(ctx context.Context, r *entry.Router) (port.ProgramView, error) {
		return r.End(ctx, view.ProgramID)
	}); err != nil {
		l.fail("end %s: %v", name, err)
	}
}

func callOf(program, name string, seq int64) port.Call {
	call := port.Call{ProgramID: program, Seq: seq, RequestID: fmt.Sprintf("%s-%d", name, seq), Input: json.RawMessage(fmt.Sprintf(`"%s %d"`, name, seq))}
	if seq%3 == 0 {
		call.Kind, call.Service, call.Operation = port.KindService, standin.ServiceLedger, standin.OperationPayout
		return call
	}
	call.Kind, call.Model, call.MaxTokens, call.Stream = port.KindModel, standin.ModelSmall, 200, true
	return call
}

// call makes one call until it is answered, and records its time.
func (l *load) call(random *rand.Rand, call port.Call) bool {
	start := time.Now()
	if call.Kind == port.KindService {
		l.mu.Lock()
		l.postings[call.RequestID] = false
		l.mu.Unlock()
	}
	answer, err := retryRequest(l, random, func(ctx context.Context, r *entry.Router) (port.Answer, error) {
		return l.stream(ctx, r, call)
	})
	if l.retriesUnknown && isLostPosting(call, err) {
		return l.verifyLost(random, call)
	}
	if err != nil {
		l.fail("call %s: %v", call.RequestID, err)
		return false
	}
	if answer.RequestID != call.RequestID || answer.Seq != call.Seq || len(answer.Output) == 0 {
		l.fail("call %s got the answer to %s", call.RequestID, answer.RequestID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times[l.phase] = append(l.times[l.phase], time.Since(start))
	if call.Kind == port.KindService {
		l.postings[call.RequestID] = true
	}
	return true
}

// isLostPosting reports whether a posting's owner was lost while the posting was in
// flight. Its outcome stays unknown, and the program continues.
func isLostPosting(call port.Call, err error) bool {
	f, ok := fault.As(err)
	return ok && call.Kind == port.KindService && f.Type == fault.OutcomeUnknown && f.Run == fault.Unknown
}

// verifyLost sends a lost posting again and checks that its outcome stays unknown.
func (l *load) verifyLost(random *rand.Rand, call port.Call) bool {
	_, err := retryRequest(l, random, func(ctx context.Context, r *entry.Router) (port.Answer, error) { return r.Call(ctx, call, nil) })
	if !isLostPosting(call, err) {
		l.fail("lost call %s was sent again and got %v", call.RequestID, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostPostings++
	return true
}

// stream makes one attempt at a call and compares the streamed pieces with the
// complete answer.
func (l *load) stream(ctx context.Context, r *entry.Router, call port.Call) (port.Answer, error) {
	if !call.Stream {
		return r.Call(ctx, call, nil)
	}
	var text []byte
	answer, err := r.Call(ctx, call, func(d port.Delta) error {
		if d.Offset != int64(len(text)) {
			l.fail("%s: delta at offset %d after %d bytes", call.RequestID, d.Offset, len(text))
		}
		text = append(text, d.Text...)
		return nil
	})
	var complete string
	if err == nil && (json.Unmarshal(answer.Output, &complete) != nil || complete != string(text)) {
		l.fail("%s: streamed %d bytes of %d", call.RequestID, len(text), len(complete))
	}
	return answer, err
}

// checkHistory compares a program's history with its calls.
func (l *load) checkHistory(random *rand.Rand, program, name string) {
	turns, err := retryRequest(l, random, func(ctx context.Context, r *entry.Router) ([]port.Turn, error) { return r.History(ctx, program) })
	if err != nil {
		l.fail("history %s: %v", name, err)
		return
	}
	for i, turn := range turns {
		if turn.Seq != int64(i+1) || turn.RequestID != fmt.Sprintf("%s-%d", name, i+1) {
			l.fail("history %s holds %s at %d", name, turn.RequestID, i+1)
		}
	}
	if len(turns) != callsPerProgram {
		l.fail("history %s has %d turns", name, len(turns))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.programs++
}

// retryRequest sends a request to ready hosts until one answers it. By default it
// retries only refusals that say not_run.
func retryRequest[T any](l *load, random *rand.Rand, request func(context.Context, *entry.Router) (T, error)) (T, error) {
	var none T
	for range maxAttempts {
		ready := *l.ready.Load()
		if len(ready) == 0 {
			time.Sleep(balancerInterval)
			continue
		}
		p := ready[random.IntN(len(ready))]
		result, err := runAt(p, request)
		if err == nil {
			return result, nil
		}
		f := fault.Of(err)
		if f.Run != fault.NotRun && (!l.retriesUnknown || f.Type == fault.OutcomeUnknown) {
			return none, err
		}
		l.mu.Lock()
		l.retries[f.Type]++
		l.mu.Unlock()
		time.Sleep(max(f.RetryAfter, 100*time.Millisecond))
	}
	return none, fault.New(fault.Timeout, fault.NotRun, "no host answered")
}

// duplicates returns the postings that ran twice, and those that were answered but did
// not run exactly once.
func (l *load) duplicates() (failures []string) {
	runs := l.fleet.platform.Runs.Of(standin.ServiceLedger)
	for id, answered := range l.postings {
		if runs[id] > 1 || answered && runs[id] != 1 {
			failures = append(failures, fmt.Sprintf("%s ran %d times", id, runs[id]))
		}
	}
	return failures
}

// summary returns the median, the 99th percentile and the maximum time of a phase's
// calls.
func (l *load) summary(phase string) string {
	times := slices.Sorted(slices.Values(l.times[phase]))
	if len(times) == 0 {
		return phase + ": no calls"
	}
	at := func(share float64) time.Duration {
		return times[int(share*float64(len(times)-1))].Round(time.Millisecond)
	}
	return fmt.Sprintf("%s: %d calls, p50 %v, p99 %v, longest %v", phase, len(times), at(0.5), at(0.99), at(1))
}
