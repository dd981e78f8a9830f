package experiment

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/sched"
)

const (
	// defaultRetryPause is the wait of a caller after a failure without a Retry-After
	// time.
	defaultRetryPause = time.Second
	// toolTimeout is the timeout of a tool call.
	toolTimeout = 15 * time.Second
	// hungToolTime is the duration of a tool call that hangs.
	hungToolTime = time.Hour
	// evictRetryPause is the wait between two attempts at an eviction.
	evictRetryPause = time.Second
	tokenBytes      = 4
	poisonText      = "POISON"
	maxTextTokens   = 1 << 16
)

var filler = strings.Repeat("word", maxTextTokens)

// session acts as the caller and the owner of one program.
type session struct {
	bench          *bench
	program        *program
	host           *sched.Scheduler
	deadline       time.Time
	prompt         []port.Segment
	tokens         int64
	attainedTokens int64
	seq            int64
	requests       int
	holders        map[string]bool
	cached         map[string]int64
}

// programAbandoned is the error of a program that missed its deadline or was refused
// permanently.
type programAbandoned struct{ cause error }

// Error implements error.
func (e *programAbandoned) Error() string { return "program abandoned: " + e.cause.Error() }

func (b *bench) session(p *program, deadline time.Time) *session {
	return &session{
		bench: b, program: p, host: b.owner(p.root), deadline: deadline,
		holders: make(map[string]bool), cached: make(map[string]int64),
	}
}

// run runs the program to its end and then evicts its caches.
func (s *session) run(ctx context.Context) error {
	defer s.end()
	for i := range s.program.turns {
		t := &s.program.turns[i]
		if err := s.callModel(ctx, t); err != nil {
			return err
		}
		if t.tool > 0 {
			s.host.ProgramIdle(s.work(t.output))
			if err := s.callTool(ctx, t.tool); err != nil {
				return err
			}
		}
		if err := s.runChildren(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) runChildren(ctx context.Context, t *turn) error {
	failures := make([]error, len(t.children))
	var all sync.WaitGroup
	for i, c := range t.children {
		all.Go(func() { failures[i] = s.bench.session(c, s.deadline).run(ctx) })
	}
	all.Wait()
	return errors.Join(failures...)
}

// callModel makes one model call and retries it as a caller does.
func (s *session) callModel(ctx context.Context, t *turn) error {
	s.seq++
	s.prompt = append(s.prompt, s.input(t))
	s.tokens += t.input
	arrived := time.Now()
	for {
		err := s.sendRequest(ctx, t, arrived)
		if err == nil {
			return nil
		}
		if f, ok := fault.As(err); ok && f.Type == fault.Poisoned {
			return &programAbandoned{err}
		}
		pause := defaultRetryPause
		if f, ok := fault.As(err); ok && f.RetryAfter > 0 {
			pause = f.RetryAfter
		}
		if time.Now().Add(pause).After(s.deadline) || s.program.poisoned {
			return &programAbandoned{err}
		}
		time.Sleep(pause)
	}
}

func (s *session) input(t *turn) port.Segment {
	text := filler[:t.input*tokenBytes]
	if s.program.poisoned {
		text = poisonText
	}
	return port.Segment{Role: "user", Text: text}
}

// sendRequest makes one request of the caller, with the retries of the owner.
func (s *session) sendRequest(ctx context.Context, t *turn, arrived time.Time) error {
	s.requests++
	id := fmt.Sprintf("%s/%d", s.program.id, s.requests)
	for attempt := 1; ; attempt++ {
		err := s.attempt(ctx, t, id, arrived)
		var te *port.TargetError
		if err == nil || !errors.As(err, &te) || ctx.Err() != nil {
			return err
		}
		pause, again := s.host.Retry(s.work(t.output), attempt, te)
		if !again {
			return err
		}
		s.bench.measured.retried()
		time.Sleep(pause)
	}
}

func (s *session) work(output int64) port.Work {
	w := port.Work{
		ProgramID: s.program.id, RootID: s.program.root, Organisation: s.program.organisation, Agent: s.program.agent, Class: "normal",
		Kind: port.KindModel, Name: modelName, PromptTokens: s.tokens, MaxTokens: output,
		AttainedTokens: s.attainedTokens, Turns: s.seq - 1, Arrived: time.Now(), Idempotent: true,
		CachedAt: s.cached, Fingerprint: xxhash.Sum64String(fmt.Sprint(s.program.id, s.seq)),
	}
	if s.program.poisoned {
		w.Fingerprint = xxhash.Sum64String(poisonText)
	}
	if !s.bench.Policy.NoDeadlines {
		w.Deadline = s.deadline
	}
	return w
}

func (s *session) attempt(ctx context.Context, t *turn, id string, arrived time.Time) error {
	w := s.work(t.output)
	w.RequestID = id
	asked := time.Now()
	g, err := s.host.Acquire(ctx, w)
	if err != nil {
		s.bench.measured.refused(err)
		return err
	}
	s.bench.measured.waited(time.Since(asked), w.Turns > 0)
	target := g.Target()
	s.holders[target.Name] = true
	sent := time.Now()
	var first time.Duration
	sink := func(port.Delta) error {
		if first == 0 {
			first = time.Since(sent)
			s.bench.measured.firstToken(time.Since(arrived))
		}
		return nil
	}
	result, err := s.bench.engine.Generate(ctx, target, port.ModelCall{
		ProgramID: s.program.id, Seq: s.seq, RequestID: id, Model: modelName, Prompt: s.prompt,
		MaxTokens: t.output, Priority: g.Priority(),
	}, sink)
	r := port.Result{FirstToken: first, Total: time.Since(sent), Usage: result.Usage}
	r.Inconclusive = ctx.Err() != nil
	errors.As(err, &r.Err)
	g.Done(r)
	s.bench.measured.dispatched(r, s.program)
	if err != nil {
		s.cancelCall(ctx, target, id)
		return err
	}
	s.recordAnswer(target.Name, t, result)
	return nil
}

// cancelCall cancels a call at its target if the caller has disconnected.
func (s *session) cancelCall(ctx context.Context, target port.Target, id string) {
	if ctx.Err() != nil {
		_ = s.bench.engine.Cancel(context.WithoutCancel(ctx), target, id)
	}
}

func (s *session) recordAnswer(target string, t *turn, result port.ModelResult) {
	s.bench.measured.computed(result.Usage, t.input, s.cached[target] > 0)
	s.prompt = append(s.prompt, port.Segment{Role: "assistant", Text: result.Output})
	s.tokens = result.Usage.PromptTokens + result.Usage.OutputTokens
	s.attainedTokens += result.Usage.PromptTokens - result.Usage.CachedTokens + result.Usage.OutputTokens
	s.cached[target] = s.tokens
}

// callTool makes one tool call through the scheduler.
func (s *session) callTool(ctx context.Context, d time.Duration) error {
	w := port.Work{
		ProgramID: s.program.id, RootID: s.program.root, Organisation: s.program.organisation, Agent: s.program.agent, Class: "normal",
		Kind: port.KindService, Name: toolName, Turns: s.seq, Arrived: time.Now(),
	}
	g, err := s.host.Acquire(ctx, w)
	if err != nil {
		return &programAbandoned{err}
	}
	if s.bench.random.float() < s.bench.Case.ToolHangShare {
		d = hungToolTime
	}
	begun := time.Now()
	time.Sleep(min(d, toolTimeout))
	r := port.Result{Total: time.Since(begun)}
	if d > toolTimeout {
		r.Err = &port.TargetError{Target: g.Target().Name, Failure: port.FailureTimeout}
	}
	g.Done(r)
	return nil
}

// end notifies the scheduler of the program's end and evicts its caches as the owner does.
func (s *session) end() {
	s.host.ProgramEnded(s.program.id, nil)
	for name := range s.holders {
		s.bench.evictions.Go(func() { s.bench.evict(name, s.program.id) })
	}
}

func (b *bench) evict(target, program string) {
	for b.engine.Evict(context.Background(), port.Target{Name: target}, program) != nil {
		time.Sleep(evictRetryPause)
	}
}
