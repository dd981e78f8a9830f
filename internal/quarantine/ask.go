package quarantine

import (
	"context"
	"sync"
	"time"

	"yuccausher/internal/core/poison"
	"yuccausher/internal/fault"
	"yuccausher/internal/upstream"
)

const (
	// askTimeout limits the question to one host, which may probe the target for almost as
	// long. askTotalTimeout limits all questions of one examination, so that a crash that shows
	// only by silence is known within the users' three seconds.
	askTimeout      = 1200 * time.Millisecond
	askTotalTimeout = 2 * time.Second
	// syncAskTimeout limits the questions that a request waits for.
	syncAskTimeout = 150 * time.Millisecond
	// maxAsked limits how many hosts are asked in one examination, askConcurrency how many at
	// the same time: one that stands still must not delay the others. Where a target accepts no
	// connection in time, each host takes that time to find out.
	maxAsked             = 12
	askConcurrency       = 2
	askSilentConcurrency = 6
)

// Peers are the other hosts, which may reach targets that this one does not.
type Peers interface {
	// Hosts returns the addresses of the other hosts.
	Hosts() []string
	// Examine asks a host to find out whether a target has crashed. Its error means that the
	// host could not be asked.
	Examine(ctx context.Context, host string, r poison.Report) (poison.Finding, error)
}

// noPeers are the peers of a host without other hosts.
type noPeers struct{}

func (noPeers) Hosts() []string { return nil }

func (noPeers) Examine(context.Context, string, poison.Report) (poison.Finding, error) {
	return poison.Finding{}, nil
}

// PeerFindingError reports that another host has found that a target has crashed.
type PeerFindingError struct {
	Host  string
	State poison.State
}

// Error implements error.
func (e *PeerFindingError) Error() string {
	return "host " + e.Host + " has examined it: " + e.State.String()
}

// ask asks other hosts whether a target has crashed until one is certain. Otherwise the finding is
// Silent if any host has found that, as their paths to the target may be lost too.
// Interruptions that other hosts have reported are theirs to ask for.
func (s *Service) ask(ctx context.Context, concurrency int, target upstream.Target, list []interruption) (poison.Finding, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := poison.Report{Target: target.ID, Run: target.StartedAt}
	for _, b := range list {
		if !b.isReported {
			r.Interruptions = append(r.Interruptions, poison.Interruption{Fingerprint: b.content, Features: b.features, Age: time.Since(b.at), IsUnframed: b.isUnframed})
		}
	}
	if len(r.Interruptions) == 0 {
		return poison.Finding{}, nil
	}
	q := &question{service: s, report: r, known: s.peers.Hosts(), asked: make(map[string]bool)}
	var asking sync.WaitGroup
	for range concurrency {
		asking.Go(func() {
			for q.askNext(ctx) {
			}
			if q.isAnswered() {
				cancel()
			}
		})
	}
	asking.Wait()
	return q.finding, q.cause
}

// question is one report that several hosts are asked about.
type question struct {
	service *Service
	report  poison.Report
	known   []string

	mu      sync.Mutex
	asked   map[string]bool
	finding poison.Finding
	// cause is set if the finding is that the target has crashed.
	cause error
}

func (q *question) isAnswered() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.finding.State.IsCertain()
}

// next returns a host that was not asked yet.
func (q *question) next() (string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.asked) >= maxAsked || q.finding.State.IsCertain() {
		return "", false
	}
	q.service.mu.Lock()
	defer q.service.mu.Unlock()
	host, ok := q.service.choice.Choose(q.known, func(h string) bool { return q.asked[h] }, time.Now())
	if ok {
		q.asked[host] = true
	}
	return host, ok
}

// askNext asks one more host. It returns false if there is none, or the question is answered.
func (q *question) askNext(ctx context.Context) bool {
	host, ok := q.next()
	if !ok || ctx.Err() != nil {
		return false
	}
	started := time.Now()
	hostCtx, cancel := context.WithTimeout(ctx, askTimeout)
	f, err := q.service.peers.Examine(hostCtx, host, q.report)
	cancel()
	if ctx.Err() != nil {
		return false // the question was answered or its time is up
	}
	q.service.recordAsked(host, q.report, f, err, time.Since(started))
	if err != nil || f.State == poison.Unknown {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.finding.State.IsCertain() {
		q.finding, q.cause = f, nil
		if f.State != poison.Alive {
			q.cause = &PeerFindingError{Host: host, State: f.State}
		}
	}
	return !f.State.IsCertain()
}

// recordAsked records the answer of a host.
func (s *Service) recordAsked(host string, r poison.Report, f poison.Finding, err error, took time.Duration) {
	result := f.State.String()
	s.mu.Lock()
	switch {
	case err != nil:
		result = "none"
		s.choice.Unreachable(host, time.Now())
	case f.State == poison.Unknown:
		s.choice.Declined(host, time.Now())
	default:
		s.choice.Taken(host)
		s.choice.Ended(host)
	}
	s.mu.Unlock()
	s.metrics.scope.Tagged(map[string]string{"state": result}).Counter("asked").Inc(1)
	s.log.Info("Another host was asked whether a target has crashed.", "target", r.Target, "started_at", r.Run, "requests", len(r.Interruptions),
		"host", host, "state", result, "ms", took.Milliseconds(), "cause", fault.Text(err))
}
