package standin

import (
	"time"

	"yuccausher/internal/port"
)

// Crash breaks all that runs and waits. KV cache and accounting are lost; the
// engine is up again after its restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, j := range e.jobs {
		j.finish(now, targetError(e.Name(), port.FailureBroken, ReasonCrashed))
	}
	e.clear()
	e.report = port.EngineStatus{}
	e.state.incarnation++
	e.state.downUntil = now.Add(e.options.RestartAfter)
	close(e.crashed)
	e.crashed = make(chan struct{})
}

// Crashed returns a channel that is closed at the next crash.
func (e *Engine) Crashed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// RestartTime returns how long a crash keeps the engine down.
func (e *Engine) RestartTime() time.Duration { return e.options.RestartAfter }

// CrashOn makes the engine crash when it runs an input that contains match.
// An empty match ends that.
func (e *Engine) CrashOn(match string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crashOn = match
}

// CrossAnswers makes the next n answers that are delivered be those of another
// request: one that runs, whose caller then gets the first one's, or else one
// that has finished.
func (e *Engine) CrossAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.crossed = n
}

// Leave makes the engine finish what it has and refuse new work; false ends
// that.
func (e *Engine) Leave(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.leaving = leaving
}

// cross returns the job whose answer is delivered for j. The lock must be held.
func (e *Engine) cross(j *job) *job {
	if other := j.crossedWith; other != nil {
		j.crossedWith = nil
		return other
	}
	if e.faults.crossed == 0 {
		return j
	}
	other := e.otherJob(j)
	if other == nil {
		return j
	}
	e.faults.crossed--
	if !other.finished {
		other.crossedWith = j
	}
	return other
}

// otherJob returns a running job other than j, or else a finished one.
func (e *Engine) otherJob(j *job) *job {
	var found *job
	for _, other := range e.jobs {
		if other == j {
			continue
		}
		if !other.finished {
			return other
		}
		found = other
	}
	return found
}
