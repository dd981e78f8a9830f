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
	// resendPause is how long a caller waits after a failure without advice.
	resendPause = time.Second
	// toolTimeout is after how long a tool call is given up.
	toolTimeout = 15 * time.Second
	// toolHang is how long a hung tool stays silent.
	toolHang = time.Hour
	// evictPause is the wait between two orders to evict.
	evictPause  = time.Second
	tokenBytes  = 4
	poisonText  = "POISON"
	longestText = 1 << 16
)

var filler = strings.Repeat("word", longestText)

// session is the caller and the owner of one program.
type session struct {
	b        *bench
	p        *program
	host     *sched.Scheduler
	deadline time.Time
	prompt   []port.Segment
	tokens   int64
	attained int64
	seq      int64
	sent     int
	holders  map[string]bool
	cached   map[string]int64
}

// gaveUp is the end of a program that missed its deadline or was refused for
// good.
type gaveUp struct{ cause error }

// Error implements error.
func (e *gaveUp) Error() string { return "program gave up: " + e.cause.Error() }

func (b *bench) session(p *program, deadline time.Time) *session {
	return &session{
		b: b, p: p, host: b.owner(p.root), deadline: deadline,
		holders: make(map[string]bool), cached: make(map[string]int64),
	}
}

// run runs the whole program and has its caches evicted.
func (s *session) run(ctx context.Context) error {
	defer s.gone()
	for i := range s.p.turns {
		t := &s.p.turns[i]
		if err := s.model(ctx, t); err != nil {
			return err
		}
		if t.tool > 0 {
			s.host.ProgramIdle(s.work(t.output))
			if err := s.tool(ctx, t.tool); err != nil {
				return err
			}
		}
		if err := s.children(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

func (s *session) children(ctx context.Context, t *turn) error {
	failures := make([]error, len(t.children))
	var all sync.WaitGroup
	for i, c := range t.children {
		all.Go(func() { failures[i] = s.b.session(c, s.deadline).run(ctx) })
	}
	all.Wait()
	return errors.Join(failures...)
}

// model makes one model call and repeats it as a caller does.
func (s *session) model(ctx context.Context, t *turn) error {
	s.seq++
	s.prompt = append(s.prompt, s.input(t))
	s.tokens += t.input
	arrived := time.Now()
	for {
		err := s.request(ctx, t, arrived)
		if err == nil {
			return nil
		}
		if f, ok := fault.As(err); ok && f.Type == fault.Poisoned {
			return &gaveUp{err}
		}
		pause := resendPause
		if f, ok := fault.As(err); ok && f.RetryAfter > 0 {
			pause = f.RetryAfter
		}
		if time.Now().Add(pause).After(s.deadline) || s.p.poisoned {
			return &gaveUp{err}
		}
		time.Sleep(pause)
	}
}

func (s *session) input(t *turn) port.Segment {
	text := filler[:t.input*tokenBytes]
	if s.p.poisoned {
		text = poisonText
	}
	return port.Segment{Role: "user", Text: text}
}

// request is one request of the caller: the owner's attempts.
func (s *session) request(ctx context.Context, t *turn, arrived time.Time) error {
	s.sent++
	id := fmt.Sprintf("%s/%d", s.p.id, s.sent)
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
		s.b.tally.retried()
		time.Sleep(pause)
	}
}

func (s *session) work(output int64) port.Work {
	w := port.Work{
		ProgramID: s.p.id, RootID: s.p.root, Organisation: s.p.organisation, Agent: s.p.agent, Class: "normal",
		Kind: port.KindModel, Name: modelName, PromptTokens: s.tokens, MaxTokens: output,
		AttainedTokens: s.attained, Turns: s.seq - 1, Arrived: time.Now(), Idempotent: true,
		CachedAt: s.cached, Fingerprint: xxhash.Sum64String(fmt.Sprint(s.p.id, s.seq)),
	}
	if s.p.poisoned {
		w.Fingerprint = xxhash.Sum64String(poisonText)
	}
	if !s.b.Policy.NoDeadlines {
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
		s.b.tally.refused(err)
		return err
	}
	s.b.tally.waited(time.Since(asked), w.Turns > 0)
	target := g.Target()
	s.holders[target.Name] = true
	sent := time.Now()
	var first time.Duration
	sink := func(port.Delta) error {
		if first == 0 {
			first = time.Since(sent)
			s.b.tally.firstToken(time.Since(arrived))
		}
		return nil
	}
	result, err := s.b.engine.Generate(ctx, target, port.ModelCall{
		ProgramID: s.p.id, Seq: s.seq, RequestID: id, Model: modelName, Prompt: s.prompt,
		MaxTokens: t.output, Priority: g.Priority(),
	}, sink)
	r := port.Result{FirstToken: first, Total: time.Since(sent), Usage: result.Usage}
	r.Inconclusive = ctx.Err() != nil
	errors.As(err, &r.Err)
	g.Done(r)
	s.b.tally.dispatched(r, s.p)
	if err != nil {
		s.hangUp(ctx, target, id)
		return err
	}
	s.answered(target.Name, t, result)
	return nil
}

// hangUp cancels what may still run for a caller that is gone.
func (s *session) hangUp(ctx context.Context, target port.Target, id string) {
	if ctx.Err() != nil {
		_ = s.b.engine.Cancel(context.WithoutCancel(ctx), target, id)
	}
}

func (s *session) answered(target string, t *turn, result port.ModelResult) {
	s.b.tally.computed(result.Usage, t.input, s.cached[target] > 0)
	s.prompt = append(s.prompt, port.Segment{Role: "assistant", Text: result.Output})
	s.tokens = result.Usage.PromptTokens + result.Usage.OutputTokens
	s.attained += result.Usage.PromptTokens - result.Usage.CachedTokens + result.Usage.OutputTokens
	s.cached[target] = s.tokens
}

// tool makes one tool call through the scheduler.
func (s *session) tool(ctx context.Context, d time.Duration) error {
	w := port.Work{
		ProgramID: s.p.id, RootID: s.p.root, Organisation: s.p.organisation, Agent: s.p.agent, Class: "normal",
		Kind: port.KindService, Name: toolName, Turns: s.seq, Arrived: time.Now(),
	}
	g, err := s.host.Acquire(ctx, w)
	if err != nil {
		return &gaveUp{err}
	}
	if s.b.random.float() < s.b.Case.ToolHangShare {
		d = toolHang
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

// gone tells that the program is over and evicts its caches as its owner does.
func (s *session) gone() {
	s.host.ProgramEnded(s.p.id, nil)
	for name := range s.holders {
		s.b.evicts.Go(func() { s.b.evict(name, s.p.id) })
	}
}

func (b *bench) evict(target, program string) {
	for b.engine.Evict(context.Background(), port.Target{Name: target}, program) != nil {
		time.Sleep(evictPause)
	}
}
