package standin

import (
	"time"

	"yuccausher/internal/port"
)

// job is one request at an engine. All fields but the channels are guarded by
// the engine's lock.
type job struct {
	call    port.ModelCall
	prefix  prefix
	arrival uint64

	// running is set once the job is in the batch; reserved is its KV memory.
	running  bool
	reserved int64

	output string
	usage  port.Usage

	// crossedWith is the job whose answer is delivered next in place of this.
	crossedWith *job

	finished   bool
	finishedAt time.Time
	err        *port.TargetError

	// stopped is closed when the job must not go on.
	stopped chan struct{}
	// changed is closed at the next change.
	changed chan struct{}
}

func newJob(call port.ModelCall, arrival uint64) *job {
	return &job{
		call:    call,
		prefix:  newPrefix(call.Prompt),
		arrival: arrival,
		stopped: make(chan struct{}),
		changed: make(chan struct{}),
	}
}

// before orders the waiting queue.
func (j *job) before(other *job) bool {
	if j.call.Priority != other.call.Priority {
		return j.call.Priority < other.call.Priority
	}
	return j.arrival < other.arrival
}

// wake ends the waits for a change.
func (j *job) wake() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// finish ends the job; a nil err means a whole answer.
func (j *job) finish(now time.Time, err *port.TargetError) {
	if j.finished {
		return
	}
	j.finished, j.finishedAt, j.err = true, now, err
	close(j.stopped)
	j.wake()
}

// result returns the typed end of the answer.
func (j *job) result() port.ModelResult {
	return port.ModelResult{
		RequestID: j.call.RequestID,
		ProgramID: j.call.ProgramID,
		Output:    j.output,
		Usage:     j.usage,
	}
}
