package standin

import (
	"context"
	"strings"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// Engine is a model engine with continuous batching and a prefix cache. A
// request goes on when its caller has hung up, until it is cancelled, so that
// it can be resumed.
type Engine struct {
	options EngineOptions

	mu       sync.Mutex
	state    engineState
	jobs     map[string]*job
	waiting  []*job
	running  int
	arrivals uint64
	finished []*job
	kv       *kvCache
	usage    map[string]map[string]port.Usage
	events   eventLog
	report   port.EngineStatus
	faults   engineFaults
}

// engineState is what orders and operators change.
type engineState struct {
	model       string
	adapter     string
	version     string
	role        string
	epoch       int64
	incarnation uint64
	leaving     bool
	downUntil   time.Time
}

// engineFaults are the faults that wait to happen.
type engineFaults struct {
	crashOn string
	crossed int
}

// NewEngine returns an engine that is up and empty.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{options: options.withDefaults()}
	e.state.model = options.Model
	e.state.incarnation = 1
	e.events = eventLog{delay: e.options.EventDelay, loss: e.options.EventLoss}
	e.clear()
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.options.Name }

// clear forgets all that a restart forgets. The lock must be held.
func (e *Engine) clear() {
	e.jobs = make(map[string]*job)
	e.waiting = nil
	e.running = 0
	e.finished = nil
	e.usage = make(map[string]map[string]port.Usage)
	e.kv = newKVCache(e.options.KVTokens, e.events.add)
}

// Generate runs a call, or attaches to the one of the same request ID, and
// hands its output to sink from call.ResumeFrom on.
func (e *Engine) Generate(ctx context.Context, call port.ModelCall, sink port.Sink) (port.ModelResult, error) {
	j, err := e.admit(call)
	if err != nil {
		return port.ModelResult{}, err
	}
	sent := call.ResumeFrom
	for {
		view := e.view(j, sent)
		if view.text != "" && sink != nil {
			if err := sink(port.Delta{Offset: sent, Text: view.text}); err != nil {
				return port.ModelResult{}, &port.TargetError{Target: e.Name(), Failure: port.FailureBroken, Output: sent, Cause: err}
			}
		}
		sent += int64(len(view.text))
		if view.finished {
			return e.deliver(j, sent)
		}
		select {
		case <-view.changed:
		case <-ctx.Done():
			return port.ModelResult{}, contextError(ctx, e.Name(), sent)
		}
	}
}

func contextError(ctx context.Context, target string, sent int64) *port.TargetError {
	failure := port.FailureBroken
	if ctx.Err() == context.DeadlineExceeded {
		failure = port.FailureTimeout
	}
	return &port.TargetError{Target: target, Failure: failure, Output: sent, Cause: ctx.Err()}
}

// jobView is what a caller sees of a job at one moment.
type jobView struct {
	text     string
	finished bool
	changed  <-chan struct{}
}

func (e *Engine) view(j *job, from int64) jobView {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := jobView{finished: j.finished, changed: j.changed}
	if from < int64(len(j.output)) {
		v.text = j.output[from:]
	}
	return v
}

// deliver returns the answer or the failure of a finished job.
func (e *Engine) deliver(j *job, sent int64) (port.ModelResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.err != nil {
		failed := *j.err
		failed.Output = sent
		return port.ModelResult{}, &failed
	}
	return e.cross(j).result(), nil
}

// admit finds the job of a call or queues a new one.
func (e *Engine) admit(call port.ModelCall) (*job, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Before(e.state.downUntil) {
		return nil, targetError(e.Name(), port.FailureRefused, ReasonDown)
	}
	e.forget(now)
	if j := e.jobs[call.RequestID]; j != nil {
		if j.call.ProgramID != call.ProgramID {
			return nil, targetError(e.Name(), port.FailureRejected, ReasonOtherProgram)
		}
		return j, nil
	}
	if err := e.refusal(call); err != nil {
		return nil, err
	}
	e.arrivals++
	j := newJob(call, e.arrivals)
	e.jobs[call.RequestID] = j
	e.enqueue(j)
	e.fill()
	return j, nil
}

// refusal returns why a new call can't be taken, or nil.
func (e *Engine) refusal(call port.ModelCall) error {
	switch {
	case e.state.leaving:
		return targetError(e.Name(), port.FailureDraining, ReasonLeaving)
	case call.ResumeFrom > 0:
		return targetError(e.Name(), port.FailureRejected, ReasonUnknownRequest)
	case call.Model != e.state.model:
		return targetError(e.Name(), port.FailureRejected, ReasonOtherModel)
	case call.MaxTokens < 1:
		return targetError(e.Name(), port.FailureRejected, ReasonNoOutput)
	case newPrefix(call.Prompt).tokens()+call.MaxTokens > e.options.KVTokens:
		return targetError(e.Name(), port.FailureRejected, ReasonTooLong)
	case len(e.waiting) >= e.options.Queue:
		return targetError(e.Name(), port.FailureBusy, ReasonQueueFull)
	}
	return nil
}

// enqueue puts a job into the waiting queue in its order.
func (e *Engine) enqueue(j *job) {
	i := len(e.waiting)
	for i > 0 && j.before(e.waiting[i-1]) {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = j
}

// fill moves waiting jobs into the batch while there is room.
func (e *Engine) fill() {
	for len(e.waiting) > 0 && e.running < e.options.Concurrency {
		j := e.waiting[0]
		cached := e.kv.cached(j.call.ProgramID, j.prefix)
		need := j.prefix.tokens() - cached + j.call.MaxTokens
		if !e.kv.reserve(j.call.ProgramID, need) {
			return
		}
		e.waiting = e.waiting[1:]
		j.running, j.reserved = true, need
		j.usage.PromptTokens = j.prefix.tokens()
		j.usage.CachedTokens = cached
		e.running++
		e.account(j)
		go e.run(j)
	}
}

// run computes a job's output as its time passes.
func (e *Engine) run(j *job) {
	uncached := j.usage.PromptTokens - j.usage.CachedTokens
	if !pass(j, time.Duration(uncached)*e.options.PrefillPerToken) {
		return
	}
	if e.crashesOn(j.call) {
		e.Crash()
		return
	}
	text := e.outputOf(j)
	total := Tokens(len(text))
	for done := int64(0); done < total; {
		step := min(e.options.DeltaTokens, total-done)
		if !pass(j, time.Duration(step)*e.options.PerOutputToken) {
			return
		}
		done += step
		e.extend(j, text[:min(int(done)*bytesPerToken, len(text))])
	}
	e.complete(j)
}

// pass lets time go by and says whether the job may go on.
func pass(j *job, d time.Duration) bool {
	if d <= 0 {
		select {
		case <-j.stopped:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-j.stopped:
		return false
	}
}

func (e *Engine) outputOf(j *job) string {
	seed := outputSeed(j.call, j.prefix)
	n := outputTokens(seed)
	if e.options.OutputTokens != nil {
		n = e.options.OutputTokens(j.call)
	}
	return output(seed, max(1, min(n, j.call.MaxTokens)))
}

func (e *Engine) crashesOn(call port.ModelCall) bool {
	e.mu.Lock()
	match := e.faults.crashOn
	e.mu.Unlock()
	if match == "" {
		return false
	}
	for _, s := range call.Prompt {
		if strings.Contains(s.Text, match) {
			return true
		}
	}
	return false
}

// extend adds to a job's output.
func (e *Engine) extend(j *job, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.finished {
		return
	}
	j.output = text
	j.usage.OutputTokens = Tokens(len(text))
	e.account(j)
	j.wake()
}

// complete ends a job with a whole answer.
func (e *Engine) complete(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.finished {
		return
	}
	e.leave(j, nil)
	e.fill()
}

// leave takes a job out of the batch or the queue. The lock must be held.
func (e *Engine) leave(j *job, err *port.TargetError) {
	j.finish(time.Now(), err)
	e.finished = append(e.finished, j)
	if !j.running {
		e.waiting = without(e.waiting, j)
		return
	}
	j.running = false
	e.running--
	computed := j.prefix.with(port.Segment{Role: "assistant", Text: j.output})
	e.kv.release(j.call.ProgramID, j.reserved, computed)
}

func without(list []*job, j *job) []*job {
	for i := range list {
		if list[i] == j {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// account records what a job has spent.
func (e *Engine) account(j *job) {
	byRequest := e.usage[j.call.ProgramID]
	if byRequest == nil {
		byRequest = make(map[string]port.Usage)
		e.usage[j.call.ProgramID] = byRequest
	}
	byRequest[j.call.RequestID] = j.usage
}

// forget drops finished jobs and their accounting after a while.
func (e *Engine) forget(now time.Time) {
	limit := now.Add(-e.options.KeepFinished)
	for len(e.finished) > 0 && e.finished[0].finishedAt.Before(limit) {
		e.drop(e.finished[0])
		e.finished = e.finished[1:]
	}
}

func (e *Engine) drop(j *job) {
	id, program := j.call.RequestID, j.call.ProgramID
	if e.jobs[id] == j {
		delete(e.jobs, id)
	}
	delete(e.usage[program], id)
	if len(e.usage[program]) == 0 {
		delete(e.usage, program)
	}
}
