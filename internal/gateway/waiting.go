package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/waitqueue"
)

// maxWaiting bounds the requests that wait for one service. The design load is some ten requests a
// second per host, so that 256 are more than can be served within any objective.
const maxWaiting = 256

// waitingBodyShare is the share of the memory for bodies that waiting requests may take.
const waitingBodyShare = 4

// waitingRooms hold the requests that wait for services whose targets are full, in configurations with
// organisations.
type waitingRooms struct {
	// available returns how many targets of a service may get a request.
	available func(service string, now time.Time) int
	limits    waitqueue.Limits

	mu    sync.Mutex
	rooms map[string]*waitingRoom
}

// waitingRoom is the queue of one service.
type waitingRoom struct {
	queue   *waitqueue.Queue
	tickets map[*waitqueue.Request]*ticket
	// isScheduled is set while a timer will take requests from the queue.
	isScheduled bool
}

// ticket tells a waiting request how its wait has ended.
type ticket struct {
	// ended receives true if the request may go on, false if it was displaced.
	ended chan bool
}

// newWaitingRooms returns queues whose requests hold at most a share of bodyBytes.
func newWaitingRooms(available func(string, time.Time) int, bodyBytes int64) *waitingRooms {
	limits := waitqueue.Limits{Requests: maxWaiting, Bytes: int(bodyBytes / waitingBodyShare)}
	return &waitingRooms{available: available, limits: limits, rooms: make(map[string]*waitingRoom)}
}

// enter lets a request go on if none waits for its service, and adds it to the queue otherwise. The
// request waits if the ticket is not nil.
func (w *waitingRooms) enter(service string, r *waitqueue.Request, mustWait bool) (*ticket, waitqueue.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := w.rooms[service]
	if room == nil {
		room = &waitingRoom{queue: waitqueue.New(w.limits), tickets: make(map[*waitqueue.Request]*ticket)}
		w.rooms[service] = room
	}
	if room.queue.Len() == 0 && !mustWait {
		room.queue.Begin(r.Organisation, time.Now())
		return nil, waitqueue.Outcome{}
	}
	o := room.queue.Add(r, time.Now())
	for _, displaced := range o.Displaced {
		room.end(displaced, false)
	}
	if o.IsRefused {
		w.forget(service, room)
		return nil, o
	}
	t := &ticket{ended: make(chan bool, 1)}
	room.tickets[r] = t
	w.schedule(service, room)
	return t, o
}

// end ends the wait of a request.
func (room *waitingRoom) end(r *waitqueue.Request, mayGoOn bool) {
	room.tickets[r].ended <- mayGoOn
	delete(room.tickets, r)
}

// schedule takes requests from the queue after fullRetryInterval.
func (w *waitingRooms) schedule(service string, room *waitingRoom) {
	if room.isScheduled || room.queue.Len() == 0 {
		return
	}
	room.isScheduled = true
	time.AfterFunc(fullRetryInterval, func() { w.take(service, room) })
}

// take lets as many requests go on as there are targets that may get one.
func (w *waitingRooms) take(service string, room *waitingRoom) {
	now := time.Now()
	n := w.available(service, now)
	w.mu.Lock()
	defer w.mu.Unlock()
	room.isScheduled = false
	for _, r := range room.queue.Take(n, now) {
		room.end(r, true)
	}
	w.schedule(service, room)
	w.forget(service, room)
}

// leave ends the wait of a request, which goes on if goesOn is set. It returns how long the request
// would have waited, and false if its wait has ended before.
func (w *waitingRooms) leave(service string, r *waitqueue.Request, goesOn bool) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := w.rooms[service]
	if room == nil || room.tickets[r] == nil {
		return 0, false
	}
	wait := room.queue.Wait(r, time.Now())
	room.queue.Remove(r)
	delete(room.tickets, r)
	if goesOn {
		room.queue.Begin(r.Organisation, time.Now())
	}
	w.forget(service, room)
	return wait, true
}

// finish ends a request that has gone on.
func (w *waitingRooms) finish(service, organisation string, hasRun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	room := w.rooms[service]
	if room == nil {
		return
	}
	now := time.Now()
	room.queue.End(organisation, hasRun, now)
	if hasRun && room.queue.Len() > 0 && w.available(service, now) > 0 {
		// The target has room for another request.
		for _, r := range room.queue.Take(1, now) {
			room.end(r, true)
		}
	}
	w.forget(service, room)
}

// forget drops the queue of a service without requests, so that services that were removed from the
// configuration take no memory.
func (w *waitingRooms) forget(service string, room *waitingRoom) {
	if room.queue.IsIdle() && !room.isScheduled {
		delete(w.rooms, service)
	}
}

// mayQueue reports whether the request waits in order with others. Requests of which a target may have
// run a part, or that only some targets may run, wait by themselves, so that they don't hold up others.
func (j *job) mayQueue() bool {
	return j.band.Count > 0 && len(j.ranAt) == 0 && !j.isVersionBound
}

// queueRequest describes the request to the queue.
func (j *job) queueRequest() *waitqueue.Request {
	due := j.started.Add(j.route.Objective)
	if deadline := j.deadline(); deadline.Before(due) {
		due = deadline
	}
	return &waitqueue.Request{
		Organisation:  j.organisationName(),
		Priority:      j.priority(),
		RoutePriority: j.route.Priority,
		HasBegun:      j.call.PreviousTurn != "" || j.call.ResumeAfter != "",
		Due:           due,
		Bytes:         len(j.prompt),
	}
}

// takeTurn waits until the request may be sent to a target: behind those that wait already, or, if
// mustWait is set, at least until targets have room again. It returns false after it has ended the
// request.
func (j *job) takeTurn(ctx context.Context, mustWait bool) bool {
	if j.queued == nil {
		j.queued = j.queueRequest()
	}
	j.endTurn()
	t, o := j.g.waiting.enter(j.service, j.queued, mustWait)
	if o.IsRefused {
		j.refuseFull(o.RetryAfter, errNotQueued)
		return false
	}
	j.hasTurn = true
	if t == nil {
		return true
	}
	defer since(&j.times.wait, time.Now())
	due := time.NewTimer(time.Until(j.queued.Due))
	defer due.Stop()
	check := time.NewTicker(waitCheckInterval)
	defer check.Stop()
	for {
		select {
		case j.hasTurn = <-t.ended:
			if !j.hasTurn {
				j.refuseFull(fullRetryAfter, errDisplaced)
			}
			return j.hasTurn
		case <-check.C:
			if !j.mustNotWait(ctx) {
				continue
			}
			if _, ok := j.g.waiting.leave(j.service, j.queued, true); ok {
				return true
			}
		case <-ctx.Done():
			if _, ok := j.g.waiting.leave(j.service, j.queued, false); ok {
				j.hasTurn = false
				j.finishUnanswered(ctx)
				return false
			}
		case <-due.C:
			if wait, ok := j.g.waiting.leave(j.service, j.queued, false); ok {
				j.hasTurn = false
				j.refuseFull(wait, errWaited)
				return false
			}
		}
		// The wait has just ended, and its end is in the channel.
		if j.hasTurn = <-t.ended; !j.hasTurn {
			j.refuseFull(fullRetryAfter, errDisplaced)
		}
		return j.hasTurn
	}
}

// waitCheckInterval is how often a waiting request looks whether its wait has become pointless. A host
// notices that it is cut off within about as long.
const waitCheckInterval = 100 * time.Millisecond

// mustNotWait reports whether the request has to be passed on or refused for another reason than full
// targets.
func (j *job) mustNotWait(ctx context.Context) bool {
	now := time.Now()
	_, isQuarantined := j.quarantinedFeature()
	return j.mustHandOver(ctx) || isQuarantined ||
		j.g.fleet.Available(j.service, now) == 0 && !j.g.fleet.IsFull(j.targetRequest(), now)
}

// endTurn counts the request as no longer in progress.
func (j *job) endTurn() {
	if j.hasTurn {
		j.g.waiting.finish(j.service, j.queued.Organisation, len(j.ranAt) > 0)
	}
	j.hasTurn = false
}

// maxFullRetryAfter limits the advice on when to retry: what is measured of full targets says little
// about later.
const maxFullRetryAfter = 10 * time.Second

var (
	// errNotQueued reports that a request was refused because it would have waited beyond its
	// objective, or the queue was full of requests before it.
	errNotQueued = errors.New("request would wait too long for full targets")
	// errDisplaced reports that a request had to leave the queue for others before it.
	errDisplaced = errors.New("request was displaced by others that wait for full targets")
	// errWaited reports that a request has waited until its objective.
	errWaited = errors.New("request has waited too long for full targets")
)

// refuseFull refuses a request for which there is room after a time.
func (j *job) refuseFull(wait time.Duration, cause error) {
	// The jitter spreads callers that were refused at the same time.
	retryAfter := time.Duration((1 + rand.Float64()/4) * float64(max(wait, fullRetryAfter)))
	j.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targets_full", cause: cause, retryAfter: min(retryAfter, maxFullRetryAfter)})
}
