package owner

import (
	"encoding/json"

	"yuccausher/internal/core/ledger"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
)

// prepare builds the prompt from the program's history.
func (m *modelRun) prepare() error {
	p := m.p
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.l.Program(m.call.ProgramID)
	if p.l.Epoch != m.epoch || g == nil {
		return &port.NotOwnerError{Partition: p.id}
	}
	var bytes int64
	for _, t := range g.Turns {
		m.prompt = appendSegments(m.prompt, t)
	}
	m.prompt = append(m.prompt, port.Segment{Role: roleUser, Text: text(m.call.Input)})
	for _, s := range m.prompt {
		bytes += int64(len(s.Text))
	}
	tokens := (bytes + tokenBytes - 1) / tokenBytes
	if !p.s.fitsContext(m.call.Model, tokens+m.call.MaxTokens) {
		return invalid("input", "does not fit the model's context with the history and max_tokens")
	}
	m.need = tokens + m.call.MaxTokens
	m.work = p.workOf(g, m.running, tokens)
	return nil
}

const (
	roleUser      = "user"
	roleAssistant = "assistant"
)

func appendSegments(prompt []port.Segment, t *record.Turn) []port.Segment {
	prompt = append(prompt, port.Segment{Role: roleUser, Text: text(t.Input)})
	if len(t.Output) > 0 {
		prompt = append(prompt, port.Segment{Role: roleAssistant, Text: text(t.Output)})
	}
	return prompt
}

// text returns a JSON string's content, and any other JSON as it is.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

// workOf describes a call to the scheduler. The caller has the lock.
func (p *part) workOf(g *ledger.Program, r *running, promptTokens int64) port.Work {
	w := port.Work{
		ProgramID:      g.ID,
		RootID:         p.rootID(g),
		RequestID:      r.call.RequestID,
		Organisation:   g.Open.Firm,
		Agent:          g.Open.Agent,
		Class:          g.Open.Class,
		Kind:           r.call.Kind,
		Name:           r.call.Model,
		PromptTokens:   promptTokens,
		MaxTokens:      r.call.MaxTokens,
		AttainedTokens: g.Spent,
		Turns:          g.NextSeq() - 1,
		Arrived:        r.arrived,
		Deadline:       r.deadline,
		Fingerprint:    ledger.ShortFingerprint(r.fingerprint),
		Idempotent:     !r.once,
		CachedAt:       cachedAt(g),
	}
	if r.call.Kind == port.KindService {
		w.Name = r.call.Service
	}
	return w
}

// rootID returns the ID of the tree's first program.
func (p *part) rootID(g *ledger.Program) string {
	for g.Open.Parent != "" {
		parent := p.l.Program(g.Open.Parent)
		if parent == nil {
			return g.Open.Parent
		}
		g = parent
	}
	return g.ID
}

// cachedAt returns the tokens that each holder had after its last turn.
func cachedAt(g *ledger.Program) map[string]int64 {
	cached := make(map[string]int64, len(g.Holders))
	for _, h := range g.Holders {
		cached[h] = 0
	}
	for _, t := range g.Turns {
		if _, ok := cached[t.Target]; ok && t.Kind == string(port.KindModel) {
			cached[t.Target] = t.Usage.GetPromptTokens() + t.Usage.GetOutputTokens()
		}
	}
	return cached
}
