package standin

import (
	"strings"
	"time"

	"yuccausher/internal/port"
)

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
