package standin

import (
	"context"
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
	// crashed is closed at the next crash.
	crashed chan struct{}
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
	e := &Engine{options: options.withDefaults(), crashed: make(chan struct{})}
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
				return port.ModelResult{}, &port.TargetError{Target: e.Name(), Failure: port.FailureBroken, OutputBytes: sent, Cause: err}
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
	return &port.TargetError{Target: target, Failure: failure, OutputBytes: sent, Cause: ctx.Err()}
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
		failed.OutputBytes = sent
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
