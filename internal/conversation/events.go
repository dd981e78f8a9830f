package conversation

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/fault"
	"yuccausher/internal/gateway"
	"yuccausher/internal/port"
)

// A kept turn whose stream breaks off may be taken up at any host, which has to know what the caller has got: the
// turn is all of it. While a host sends the events of such a stream, it copies them to other hosts, so that they are
// known if the host ends.

const (
	// eventCopies is how many other hosts get the events of a stream.
	eventCopies = 2
	// eventHosts is how many hosts, the first of the partition's order, may hold them. Hosts that come or end
	// between the copy and the lookup move the others by a place.
	eventHosts = 4
	// keepEventsTimeout limits a call that copies events, findEventsTimeout one that looks them up.
	keepEventsTimeout = 300 * time.Millisecond
	findEventsTimeout = 150 * time.Millisecond
	// copyBytes limits the events in one call.
	copyBytes = 256 << 10
	// copyWait is how long an event waits for its first copy before it is sent to the caller: a few round trips
	// between data centres. Without a copy the stream can't be taken up if this host ends.
	copyWait = 20 * time.Millisecond
	// maxCopiedBytes limits what is copied of a stream. A longer one can't be taken up.
	maxCopiedBytes = 1 << 20
	// findRounds is how often the events are looked up, findPause the pause between. The latest event may
	// still be on its way.
	findRounds = 3
	findPause  = 50 * time.Millisecond
)

// recorder copies the events of a stream to other hosts while they are sent to the caller. It implements
// gateway.Recorder.
type recorder struct {
	service *Service
	attempt conversation.Attempt
	// hosts are those that may get copies; each of the copying goroutines takes one at a time.
	hosts chan string

	// before is how many events an earlier attempt has brought.
	before int

	mu         sync.Mutex
	transcript *conversation.Transcript
	// stored is how many events this host itself holds for lookups.
	stored int
	// copying is how many goroutines copy events, copied how many events some other host holds.
	copying, copied int
	isClosed        bool
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// Record implements gateway.Conversations.
func (s *Service) Record(program string, a conversation.Attempt, before *conversation.Transcript) gateway.Recorder {
	hosts := s.peers(s.partOf(keyOf(program, a.Stream)), eventHosts)
	r := &recorder{service: s, attempt: a, hosts: make(chan string, len(hosts)), before: before.Len(), transcript: before.Clone(), changed: make(chan struct{})}
	for _, host := range hosts {
		r.hosts <- host
	}
	close(r.hosts)
	r.copying = min(eventCopies, len(hosts))
	for range r.copying {
		s.done.Go(r.copy)
	}
	return r
}

// keyOf returns the key of the partition that holds a program's turns. Without a program the turn is its own key.
func keyOf(program, turn string) string {
	if program == "" {
		return turn
	}
	return program
}

// Append implements gateway.Recorder.
func (r *recorder) Append(e conversation.Event) {
	r.mu.Lock()
	isFull := r.transcript.Size() > maxCopiedBytes
	if !isFull {
		r.transcript.Append(e)
		r.stored = r.service.held.add(r.part(r.stored, r.transcript.Events(r.stored)), time.Now())
		r.signal()
	}
	r.mu.Unlock()
	if !isFull {
		r.awaitCopy()
	}
}

// awaitCopy waits until another host holds all events, for copyWait at most.
func (r *recorder) awaitCopy() {
	timer := time.NewTimer(copyWait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		isDone, changed := r.copied >= r.transcript.Len() || r.copying == 0, r.changed
		r.mu.Unlock()
		if isDone {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// part returns events of the stream, of which the first has an index.
func (r *recorder) part(from int, events []conversation.Event) port.AttemptEvents {
	return port.AttemptEvents{Attempt: r.attempt, ResumedAfter: r.transcript.ResumedAfter(), From: from, Events: events}
}

// Close implements gateway.Recorder.
func (r *recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	r.signal()
}

// signal wakes the copying goroutines. The caller holds r.mu.
func (r *recorder) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// next waits for events from an index on. It returns none once the stream has ended.
func (r *recorder) next(from int) []conversation.Event {
	for {
		r.mu.Lock()
		events, changed, isClosed := r.transcript.Events(min(from, r.transcript.Len())), r.changed, r.isClosed
		r.mu.Unlock()
		size := 0
		for i, e := range events {
			if size += len(e.Data); size > copyBytes && i > 0 && from+i >= r.before {
				events = events[:i]
				break
			}
		}
		if len(events) > 0 || isClosed {
			return events
		}
		select {
		case <-changed:
		case <-r.service.ctx.Done():
			return nil
		}
	}
}

// copy sends the events to one host, and to the next one if that fails, until the stream has ended.
func (r *recorder) copy() {
	s := r.service
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.copying--
		r.signal()
	}()
	for host := range r.hosts {
		if r.copyTo(host) {
			return
		}
		s.metrics.copyFailures.Inc(1)
	}
	s.log.V(1).Info("Events of a stream were not copied.", "stream", r.attempt.Stream, "request", r.attempt.ID)
}

// copyTo sends the events to a host. It returns false if the host does not take them.
func (r *recorder) copyTo(host string) bool {
	s := r.service
	have := 0
	for {
		events := r.next(have)
		if len(events) == 0 {
			return true
		}
		ctx, cancel := context.WithTimeout(s.ctx, keepEventsTimeout)
		got, err := s.params.Peers.KeepEvents(ctx, host, r.part(have, events))
		cancel()
		if err != nil || got == 0 {
			s.log.V(1).Info("Host has not taken events of a stream.", "host", host, "stream", r.attempt.Stream, "request", r.attempt.ID, "have", have, "got", got, "cause", fault.Text(err))
			return false
		}
		// A host that has started again has fewer.
		have = got
		r.mu.Lock()
		r.copied = max(r.copied, got)
		r.signal()
		r.mu.Unlock()
	}
}

// KeepEventsLocal implements port.ConversationServer.
func (s *Service) KeepEventsLocal(e port.AttemptEvents) int { return s.held.add(e, time.Now()) }

// FindEventsLocal implements port.ConversationServer.
func (s *Service) FindEventsLocal(stream string) []conversation.Held {
	return s.held.find(stream, time.Now())
}

// TakeUp implements gateway.Conversations.
func (s *Service) TakeUp(ctx context.Context, program string, a conversation.Attempt, after string) (*conversation.Transcript, error) {
	started := time.Now()
	hosts := s.peers(s.partOf(keyOf(program, a.Stream)), eventHosts)
	for round := 1; ; round++ {
		held := s.findEvents(ctx, hosts, a)
		t, ok := conversation.Resume(held, after)
		if ok || round == findRounds || ctx.Err() != nil {
			s.log.Info("Events of a stream were looked up.", "stream", a.Stream, "request", a.ID, "after", after, "found", ok, "copies", len(held),
				"hosts", len(hosts), "rounds", round, "ms", time.Since(started).Milliseconds())
			s.metrics.countTakeUp(ok)
		}
		switch {
		case ok:
			return t, nil
		case ctx.Err() != nil:
			return nil, errors.Trace(ctx.Err())
		case round == findRounds:
			return nil, &gateway.UncertainTurnError{Turn: a.Stream, RetryAfter: uncertainRetry}
		}
		timer := time.NewTimer(findPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// findEvents returns what this host and others hold of a stream that the caller's organisation has begun.
func (s *Service) findEvents(ctx context.Context, hosts []string, a conversation.Attempt) []conversation.Held {
	ctx, cancel := context.WithTimeout(ctx, findEventsTimeout)
	defer cancel()
	replies := make(chan []conversation.Held, len(hosts))
	for _, host := range hosts {
		s.done.Go(func() {
			held, err := s.params.Peers.FindEvents(ctx, host, a.Stream)
			if err != nil {
				s.log.V(1).Info("Host did not say what it holds of a stream.", "host", host, "stream", a.Stream, "cause", err.Error())
			}
			replies <- held
		})
	}
	all := s.held.find(a.Stream, time.Now())
	for range hosts {
		all = append(all, <-replies...)
	}
	var own []conversation.Held
	for _, h := range all {
		if h.Organisation == a.Organisation {
			own = append(own, h)
		}
	}
	return own
}
