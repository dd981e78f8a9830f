package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"yuccausher/internal/core/partition"
	"yuccausher/internal/gen/record"
	"yuccausher/internal/port"
	_ "yuccausher/internal/testutil"
)

const (
	machineHosts  = 3
	machineBudget = 100
)

// process is one run of a host, with its own, perhaps late, view.
type process struct {
	self     Writer
	sequence uint64
	state    *State
	next     int64
	// mine are the intents that the process has written and not yet used.
	mine map[string]bool
	// inFlight is what it has spent without a record, by epoch.
	inFlight int64
	epoch    int64
	sent     [][]byte
}

// machine draws interleavings of several processes over one log.
type machine struct {
	log     []port.Record
	oldest  int64
	oracle  *State
	hosts   []*process
	starts  uint64
	nonce   int
	turns   map[string][]string
	left    map[string]int
	expired map[string]bool
	// spent is what targets have really used of the one tree.
	spent int64
	// unrecorded is the part of it that no record holds, by epoch.
	unrecorded map[int64]int64
	leaseEnd   int64
}

func newMachine() *machine {
	m := &machine{
		oracle:     NewState(1, 0),
		turns:      make(map[string][]string),
		left:       make(map[string]int),
		expired:    make(map[string]bool),
		unrecorded: make(map[int64]int64),
	}
	for i := range machineHosts {
		m.hosts = append(m.hosts, m.start(i))
	}
	return m
}

func (m *machine) start(host int) *process {
	m.starts++
	return &process{
		self:  Writer{Host: fmt.Sprint("h", host), Incarnation: m.starts},
		state: NewState(1, m.oldest),
		next:  m.oldest,
		mine:  make(map[string]bool),
	}
}

func (m *machine) append(data []byte) {
	r := port.Record{Offset: int64(len(m.log)), Data: data}
	r.AppendedAt = time.Unix(r.Offset, 0)
	m.log = append(m.log, r)
	m.oracle.Apply(r)
}

// write appends a record of a process under the claim that it believes in.
func (m *machine) write(h *process, r *record.Record) {
	h.sequence++
	r.Host, r.Incarnation, r.Sequence = h.self.Host, h.self.Incarnation, h.sequence
	r.Epoch = h.part().Epoch
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	h.sent = append(h.sent, data)
	m.append(data)
}

func (h *process) part() *Partition { return h.state.Partition(0) }

// holds says whether the process believes that it owns the partition.
func (h *process) holds() bool {
	p := h.part()
	return p.Epoch > 0 && p.Holder == h.self && !p.Released
}

func (m *machine) tail(h *process, n int64) {
	if h.next < m.oldest {
		*h = process{self: h.self, sequence: h.sequence, sent: h.sent, mine: h.mine, state: NewState(1, m.oldest), next: m.oldest}
	}
	for ; n > 0 && h.next < int64(len(m.log)); n-- {
		h.state.Apply(m.log[h.next])
		h.next++
	}
	if h.part().Epoch != h.epoch {
		h.epoch = h.part().Epoch
		h.inFlight = 0
	}
}

func (m *machine) draw(t *rapid.T) *process {
	return m.hosts[rapid.IntRange(0, machineHosts-1).Draw(t, "host")]
}

// drawHolder draws a process that believes that it owns the partition. It has
// mostly read all before, and sometimes not.
func (m *machine) drawHolder(t *rapid.T) *process {
	var holders []*process
	for _, h := range m.hosts {
		if h.holds() {
			holders = append(holders, h)
		}
	}
	if len(holders) == 0 {
		t.Skip("nobody owns the partition")
	}
	h := rapid.SampledFrom(holders).Draw(t, "holder")
	if rapid.IntRange(0, 3).Draw(t, "reads first") > 0 {
		m.tail(h, int64(len(m.log)))
	}
	if !h.holds() {
		t.Skip("holds nothing")
	}
	return h
}

// program draws an open program as a process sees it.
func (h *process) program(t *rapid.T) *Program {
	var open []*Program
	h.part().Programs(func(g *Program) {
		if g.State == Open {
			open = append(open, g)
		}
	})
	if len(open) == 0 {
		t.Skip("no open program")
	}
	slices.SortFunc(open, func(a, b *Program) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	return rapid.SampledFrom(open).Draw(t, "program")
}

func (m *machine) claim(t *rapid.T) {
	h := m.draw(t)
	if rapid.Bool().Draw(t, "reads first") {
		m.tail(h, int64(len(m.log)))
	}
	m.write(h, &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}})
}

func (m *machine) tailSome(t *rapid.T) {
	m.tail(m.draw(t), rapid.Int64Range(1, 20).Draw(t, "records"))
}

func (m *machine) tailAll(t *rapid.T) { m.tail(m.draw(t), int64(len(m.log))) }

// repeat appends an earlier record of a process once more.
func (m *machine) repeat(t *rapid.T) {
	h := m.draw(t)
	if len(h.sent) == 0 {
		t.Skip("nothing sent")
	}
	m.append(rapid.SampledFrom(h.sent).Draw(t, "copy"))
}

func (m *machine) garbage(t *rapid.T) { m.append(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes")) }

func (m *machine) die(t *rapid.T) {
	i := rapid.IntRange(0, machineHosts-1).Draw(t, "host")
	m.hosts[i] = m.start(i)
}

func (m *machine) open(t *rapid.T) {
	h := m.drawHolder(t)
	o := &record.Open{Firm: "f", RequestId: fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "request")), BudgetTokens: machineBudget, Slice: 20}
	root := h.part().Tree("root")
	if root != nil {
		if root.ProgramForRequest("f", o.RequestId) != "" {
			t.Skip("opened before")
		}
		h.part().Programs(func(g *Program) { o.Parent = g.ID })
	}
	m.nonce++
	o.ProgramId = partition.ProgramID("root", fmt.Sprint(m.nonce))
	m.write(h, &record.Record{Body: &record.Record_Open{Open: o}})
}

func key(g *Program) string { return fmt.Sprint(g.ID, "/", g.NextSeq()) }

func (m *machine) intend(t *rapid.T) {
	h := m.drawHolder(t)
	g := h.program(t)
	if g.Intent != nil {
		t.Skip("intent stands")
	}
	h.mine[key(g)] = true
	m.write(h, &record.Record{Body: &record.Record_Intent{Intent: &record.Intent{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: key(g)}}})
}

// dispatch lets a call leave that the process has seen its own intent of.
func (m *machine) dispatch(t *rapid.T) {
	h := m.drawHolder(t)
	g := h.program(t)
	k := key(g)
	if g.Intent == nil || !h.mine[k] || m.expired[k] || g.IntentEpoch != h.part().Epoch {
		t.Skip("no intent of its own")
	}
	delete(h.mine, k)
	m.left[k]++
}

// resolve ends an intent: by its outcome, or as never dispatched.
func (m *machine) resolve(t *rapid.T) {
	h := m.drawHolder(t)
	g := h.program(t)
	if g.Intent == nil {
		t.Skip("no intent")
	}
	k := key(g)
	if h.mine[k] {
		t.Skip("not dispatched yet")
	}
	m.expired[k] = true // the allowance has been waited out
	if m.left[k] == 0 && rapid.Bool().Draw(t, "can say") {
		m.write(h, &record.Record{Body: &record.Record_Undispatched{Undispatched: &record.Undispatched{ProgramId: g.ID, Seq: g.NextSeq()}}})
		return
	}
	m.writeTurn(h, g, 0)
}

func (m *machine) writeTurn(h *process, g *Program, charge int64) {
	m.nonce++
	turn := &record.Turn{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: key(g), Output: fmt.Append(nil, m.nonce), Charge: charge}
	turn.Digest = TurnDigest(g, turn.Input, turn.Output)
	turn.Granted = h.part().Tree("root").Spent + 40
	m.write(h, &record.Record{Body: &record.Record_Turn{Turn: turn}})
}

// spend uses tokens of the escrow at a target, before any record of it.
func (m *machine) spend(t *rapid.T) {
	h := m.drawHolder(t)
	tree := h.part().Tree("root")
	if tree == nil || h.part().Epoch < m.leaseEnd {
		t.Skip("no escrow of its own")
	}
	n := rapid.Int64Range(1, 30).Draw(t, "tokens")
	if tree.Free()-h.inFlight < n {
		t.Skip("escrow too small")
	}
	h.inFlight += n
	m.spent += n
	m.unrecorded[h.part().Epoch] += n
}

// charge records what was spent, with a turn of a program.
func (m *machine) charge(t *rapid.T) {
	h := m.drawHolder(t)
	g := h.program(t)
	if g.Intent != nil || h.inFlight == 0 || h.next != int64(len(m.log)) {
		t.Skip("nothing to charge")
	}
	m.unrecorded[h.part().Epoch] -= h.inFlight
	m.writeTurn(h, g, h.inFlight)
	m.tail(h, 1)
	h.inFlight = 0
}

func (m *machine) slice(t *rapid.T) {
	h := m.drawHolder(t)
	g := h.program(t)
	granted := h.part().Tree("root").Granted + 30
	m.write(h, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{ProgramId: g.ID, Granted: granted}}})
}

// reconcile settles what earlier owners have spent, after their lease.
func (m *machine) reconcile(t *rapid.T) {
	h := m.drawHolder(t)
	tree := h.part().Tree("root")
	if tree == nil || tree.Unsettled == 0 || h.next != int64(len(m.log)) {
		t.Skip("nothing unsettled")
	}
	epoch := h.part().Epoch
	m.leaseEnd = max(m.leaseEnd, epoch)
	var charge int64
	for e, n := range m.unrecorded {
		if e < epoch {
			charge += n
			delete(m.unrecorded, e)
		}
	}
	m.write(h, &record.Record{Body: &record.Record_Reconcile{Reconcile: &record.Reconcile{
		ProgramId: h.program(t).ID, Unsettled: tree.Unsettled, Charge: charge,
	}}})
}

func (m *machine) release(t *rapid.T) {
	h := m.drawHolder(t)
	if h.inFlight > 0 || h.next != int64(len(m.log)) {
		t.Skip("busy")
	}
	m.write(h, &record.Record{Body: &record.Record_Release{Release: &record.Release{}}})
}

func (m *machine) end(t *rapid.T) {
	h := m.drawHolder(t)
	m.write(h, &record.Record{Body: &record.Record_End{End: &record.End{ProgramId: h.program(t).ID}}})
}

// save writes a hold and all checkpoints; then, if they are whole, the log
// drops what lies before.
func (m *machine) saveAndTrim(t *rapid.T) {
	h := m.drawHolder(t)
	from := int64(len(m.log))
	m.write(h, &record.Record{Body: &record.Record_Hold{Hold: &record.Hold{}}})
	h.part().Trees(func(tree *Tree) {
		m.write(h, &record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: tree.Checkpoint()}})
		tree.Programs(func(g *Program) {
			m.write(h, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
		})
	})
	if m.saved(from) && rapid.Bool().Draw(t, "trim") {
		m.oldest = max(m.oldest, from-rapid.Int64Range(0, 40).Draw(t, "kept"))
	}
}

// saved says whether all that is alive was written from an offset on.
func (m *machine) saved(from int64) bool {
	p := m.oracle.Partition(0)
	whole := p.Holder.Host != "" && !p.Released
	for _, r := range m.log[from:] {
		e, ok := Decode(r)
		whole = whole && ok && e.Record.Epoch == p.Epoch
	}
	p.Trees(func(tree *Tree) {
		whole = whole && tree.CheckpointedAt.Unix() >= from
		tree.Programs(func(g *Program) { whole = whole && g.CheckpointedAt.Unix() >= from })
	})
	return whole
}

// dump describes all that readers must agree on.
func dump(p *Partition) string {
	var lines []string
	p.Trees(func(t *Tree) {
		lines = append(lines, fmt.Sprint("tree ", t.Budget, t.Spent, t.Granted, t.Unsettled))
		t.Programs(func(g *Program) {
			lines = append(lines, fmt.Sprint(g.ID, g.State, len(g.Turns), fmt.Sprintf("%x", g.Digest), g.Intent != nil, g.UnknownHolders))
		})
	})
	slices.Sort(lines)
	return fmt.Sprint(p.Epoch, p.Holder, p.Released, lines)
}

// check holds the invariants after each step.
func (m *machine) check(t *rapid.T) {
	p := m.oracle.Partition(0)
	m.checkReaders(t, dump(p))
	m.checkHistory(t, p)
	for k, n := range m.left {
		if n > 1 {
			t.Fatalf("call %s left %d times", k, n)
		}
	}
	p.Trees(func(tree *Tree) {
		if tree.Spent+tree.Unsettled > tree.Granted || tree.Granted > tree.Budget {
			t.Fatalf("escrow does not add up: %+v", tree)
		}
	})
	if m.spent > machineBudget {
		t.Fatalf("spent %d of %d", m.spent, machineBudget)
	}
}

// checkReaders compares everyone who has read all, and a newcomer.
func (m *machine) checkReaders(t *rapid.T, want string) {
	newcomer := NewState(1, m.oldest)
	for _, r := range m.log[m.oldest:] {
		newcomer.Apply(r)
	}
	if got := dump(newcomer.Partition(0)); got != want {
		t.Fatalf("newcomer from %d has\n%s\nothers\n%s", m.oldest, got, want)
	}
	for _, h := range m.hosts {
		if got := dump(h.part()); h.next == int64(len(m.log)) && got != want {
			t.Fatalf("%s has\n%s\nothers\n%s", h.self.Host, got, want)
		}
	}
}

// checkHistory lets no turn change or vanish.
func (m *machine) checkHistory(t *rapid.T, p *Partition) {
	p.Programs(func(g *Program) {
		known := m.turns[g.ID]
		if len(g.Turns) < len(known) {
			t.Fatalf("program %s lost turns", g.ID)
		}
		for i, turn := range g.Turns {
			output := string(turn.Output)
			if i < len(known) && known[i] != output {
				t.Fatalf("program %s changed turn %d", g.ID, i+1)
			}
			if i >= len(known) {
				known = append(known, output)
			}
		}
		m.turns[g.ID] = known
	})
	for id := range m.turns {
		if p.Program(id) == nil {
			t.Fatalf("program %s is gone", id)
		}
	}
}

func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		actions := map[string]func(*rapid.T){
			"claim":     m.claim,
			"tail":      m.tailSome,
			"catch up":  m.tailAll,
			"repeat":    m.repeat,
			"garbage":   m.garbage,
			"die":       m.die,
			"open":      m.open,
			"intend":    m.intend,
			"dispatch":  m.dispatch,
			"resolve":   m.resolve,
			"spend":     m.spend,
			"charge":    m.charge,
			"slice":     m.slice,
			"reconcile": m.reconcile,
			"release":   m.release,
			"end":       m.end,
			"save":      m.saveAndTrim,
			"":          m.check,
		}
		for range 5 {
			t.Repeat(actions)
		}
	})
}
