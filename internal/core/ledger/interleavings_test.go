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
	simulatedHosts  = 3
	simulatedBudget = 100
)

// process is one run of a host. Its state may lag behind the log.
type process struct {
	self     Writer
	sequence uint64
	state    *State
	next     int64
	// undispatched holds the intents that the process has written and whose calls
	// it has not dispatched yet.
	undispatched map[string]bool
	// inFlight is what the process has spent under epoch without a record, in
	// tokens.
	inFlight int64
	epoch    int64
	written  [][]byte
}

// simulation draws interleavings of several processes over one log.
type simulation struct {
	log        []port.Record
	oldest     int64
	reference  *State
	processes  []*process
	starts     uint64
	nonce      int
	turns      map[string][]string
	dispatched map[string]int
	expired    map[string]bool
	// spent is the number of tokens that targets have used for the one tree.
	spent int64
	// unrecorded is the part of spent that no record holds, by epoch.
	unrecorded map[int64]int64
	// reconciledEpoch is the latest epoch under which a reconcile record was
	// written. Owners with an earlier epoch spend nothing any more, since their
	// lease has expired.
	reconciledEpoch int64
}

func newSimulation() *simulation {
	m := &simulation{
		reference:  NewState(1, 0),
		turns:      make(map[string][]string),
		dispatched: make(map[string]int),
		expired:    make(map[string]bool),
		unrecorded: make(map[int64]int64),
	}
	for i := range simulatedHosts {
		m.processes = append(m.processes, m.start(i))
	}
	return m
}

func (m *simulation) start(host int) *process {
	m.starts++
	return &process{
		self:         Writer{Host: fmt.Sprint("h", host), Incarnation: m.starts},
		state:        NewState(1, m.oldest),
		next:         m.oldest,
		undispatched: make(map[string]bool),
	}
}

func (m *simulation) append(data []byte) {
	r := port.Record{Offset: int64(len(m.log)), Data: data}
	r.AppendedAt = time.Unix(r.Offset, 0)
	m.log = append(m.log, r)
	m.reference.Apply(r)
}

// write appends a record of a process under the latest claim that it knows.
func (m *simulation) write(h *process, r *record.Record) {
	h.sequence++
	r.Host, r.Incarnation, r.Sequence = h.self.Host, h.self.Incarnation, h.sequence
	r.Epoch = h.part().Epoch
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	h.written = append(h.written, data)
	m.append(data)
}

func (h *process) part() *Partition { return h.state.Partition(0) }

// isOwner reports whether the process considers itself the partition's owner.
func (h *process) isOwner() bool {
	p := h.part()
	return p.Epoch > 0 && p.Holder == h.self && !p.Released
}

func (m *simulation) tail(h *process, n int64) {
	if h.next < m.oldest {
		*h = process{self: h.self, sequence: h.sequence, written: h.written, undispatched: h.undispatched, state: NewState(1, m.oldest), next: m.oldest}
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

func (m *simulation) drawProcess(t *rapid.T) *process {
	return m.processes[rapid.IntRange(0, simulatedHosts-1).Draw(t, "host")]
}

// drawOwner draws a process that considers itself the partition's owner. In three
// of four cases the process reads the whole log first.
func (m *simulation) drawOwner(t *rapid.T) *process {
	var owners []*process
	for _, h := range m.processes {
		if h.isOwner() {
			owners = append(owners, h)
		}
	}
	if len(owners) == 0 {
		t.Skip("no process owns the partition")
	}
	h := rapid.SampledFrom(owners).Draw(t, "owner")
	if rapid.IntRange(0, 3).Draw(t, "reads first") > 0 {
		m.tail(h, int64(len(m.log)))
	}
	if !h.isOwner() {
		t.Skip("process no longer owns the partition")
	}
	return h
}

// program draws a program that is open in the state of the process.
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

func (m *simulation) claim(t *rapid.T) {
	h := m.drawProcess(t)
	if rapid.Bool().Draw(t, "reads first") {
		m.tail(h, int64(len(m.log)))
	}
	m.write(h, &record.Record{Body: &record.Record_Claim{Claim: &record.Claim{}}})
}

func (m *simulation) tailSome(t *rapid.T) {
	m.tail(m.drawProcess(t), rapid.Int64Range(1, 20).Draw(t, "records"))
}

func (m *simulation) tailAll(t *rapid.T) { m.tail(m.drawProcess(t), int64(len(m.log))) }

// repeat appends a second copy of an earlier record of a process.
func (m *simulation) repeat(t *rapid.T) {
	h := m.drawProcess(t)
	if len(h.written) == 0 {
		t.Skip("nothing written yet")
	}
	m.append(rapid.SampledFrom(h.written).Draw(t, "copy"))
}

func (m *simulation) garbage(t *rapid.T) {
	m.append(rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "bytes"))
}

func (m *simulation) restart(t *rapid.T) {
	i := rapid.IntRange(0, simulatedHosts-1).Draw(t, "host")
	m.processes[i] = m.start(i)
}

func (m *simulation) open(t *rapid.T) {
	h := m.drawOwner(t)
	o := &record.Open{Firm: "f", RequestId: fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "request")), BudgetTokens: simulatedBudget, Slice: 20}
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

func (m *simulation) intend(t *rapid.T) {
	h := m.drawOwner(t)
	g := h.program(t)
	if g.Intent != nil {
		t.Skip("program has an intent")
	}
	h.undispatched[key(g)] = true
	m.write(h, &record.Record{Body: &record.Record_Intent{Intent: &record.Intent{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: key(g)}}})
}

// dispatch dispatches a call for which the process has read back its own intent.
func (m *simulation) dispatch(t *rapid.T) {
	h := m.drawOwner(t)
	g := h.program(t)
	k := key(g)
	if g.Intent == nil || !h.undispatched[k] || m.expired[k] || g.IntentEpoch != h.part().Epoch {
		t.Skip("no intent of its own")
	}
	delete(h.undispatched, k)
	m.dispatched[k]++
}

// resolve ends an intent, either by an outcome or by an undispatched record.
func (m *simulation) resolve(t *rapid.T) {
	h := m.drawOwner(t)
	g := h.program(t)
	if g.Intent == nil {
		t.Skip("no intent")
	}
	k := key(g)
	if h.undispatched[k] {
		t.Skip("not dispatched yet")
	}
	m.expired[k] = true // no owner may dispatch the call any more
	if m.dispatched[k] == 0 && rapid.Bool().Draw(t, "known undispatched") {
		m.write(h, &record.Record{Body: &record.Record_Undispatched{Undispatched: &record.Undispatched{ProgramId: g.ID, Seq: g.NextSeq()}}})
		return
	}
	m.writeTurn(h, g, 0)
}

func (m *simulation) writeTurn(h *process, g *Program, charge int64) {
	m.nonce++
	turn := &record.Turn{ProgramId: g.ID, Seq: g.NextSeq(), RequestId: key(g), Output: fmt.Append(nil, m.nonce), Charge: charge}
	turn.Digest = TurnDigest(g, turn.Input, turn.Output)
	turn.Granted = h.part().Tree("root").Spent + 40
	m.write(h, &record.Record{Body: &record.Record_Turn{Turn: turn}})
}

// spend spends tokens of the escrow at a target before any record reports it.
func (m *simulation) spend(t *rapid.T) {
	h := m.drawOwner(t)
	tree := h.part().Tree("root")
	if tree == nil || h.part().Epoch < m.reconciledEpoch {
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

// charge records the spent tokens in a turn of a program.
func (m *simulation) charge(t *rapid.T) {
	h := m.drawOwner(t)
	g := h.program(t)
	if g.Intent != nil || h.inFlight == 0 || h.next != int64(len(m.log)) {
		t.Skip("nothing to charge")
	}
	m.unrecorded[h.part().Epoch] -= h.inFlight
	m.writeTurn(h, g, h.inFlight)
	m.tail(h, 1)
	h.inFlight = 0
}

func (m *simulation) slice(t *rapid.T) {
	h := m.drawOwner(t)
	g := h.program(t)
	granted := h.part().Tree("root").Granted + 30
	m.write(h, &record.Record{Body: &record.Record_Slice{Slice: &record.Slice{ProgramId: g.ID, Granted: granted}}})
}

// reconcile settles what earlier owners have spent, after their lease expired.
func (m *simulation) reconcile(t *rapid.T) {
	h := m.drawOwner(t)
	tree := h.part().Tree("root")
	if tree == nil || tree.Unsettled == 0 || h.next != int64(len(m.log)) {
		t.Skip("nothing unsettled")
	}
	epoch := h.part().Epoch
	m.reconciledEpoch = max(m.reconciledEpoch, epoch)
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

func (m *simulation) release(t *rapid.T) {
	h := m.drawOwner(t)
	if h.inFlight > 0 || h.next != int64(len(m.log)) {
		t.Skip("busy")
	}
	m.write(h, &record.Record{Body: &record.Record_Release{Release: &record.Release{}}})
}

func (m *simulation) end(t *rapid.T) {
	h := m.drawOwner(t)
	m.write(h, &record.Record{Body: &record.Record_End{End: &record.End{ProgramId: h.program(t).ID}}})
}

// checkpointAndTrim writes a hold and checkpoints of everything. If all of them
// took effect, it may trim the log before them.
func (m *simulation) checkpointAndTrim(t *rapid.T) {
	h := m.drawOwner(t)
	from := int64(len(m.log))
	m.write(h, &record.Record{Body: &record.Record_Hold{Hold: &record.Hold{}}})
	h.part().Trees(func(tree *Tree) {
		m.write(h, &record.Record{Body: &record.Record_TreeCheckpoint{TreeCheckpoint: tree.Checkpoint()}})
		tree.Programs(func(g *Program) {
			m.write(h, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: g.Checkpoint()}})
		})
	})
	if m.isCheckpointed(from) && rapid.Bool().Draw(t, "trim") {
		m.oldest = max(m.oldest, from-rapid.Int64Range(0, 40).Draw(t, "kept"))
	}
}

// isCheckpointed reports whether every tree and program has a valid checkpoint at
// or after offset from, written by the current owner.
func (m *simulation) isCheckpointed(from int64) bool {
	p := m.reference.Partition(0)
	complete := p.Holder.Host != "" && !p.Released
	for _, r := range m.log[from:] {
		e, ok := Decode(r)
		complete = complete && ok && e.Record.Epoch == p.Epoch
	}
	p.Trees(func(tree *Tree) {
		complete = complete && tree.CheckpointedAt.Unix() >= from
		tree.Programs(func(g *Program) { complete = complete && g.CheckpointedAt.Unix() >= from })
	})
	return complete
}

// dump formats the state on which all readers must agree.
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

// check verifies the invariants after each step.
func (m *simulation) check(t *rapid.T) {
	p := m.reference.Partition(0)
	m.checkReaders(t, dump(p))
	m.checkHistory(t, p)
	for k, n := range m.dispatched {
		if n > 1 {
			t.Fatalf("call %s was dispatched %d times", k, n)
		}
	}
	p.Trees(func(tree *Tree) {
		if tree.Spent+tree.Unsettled > tree.Granted || tree.Granted > tree.Budget {
			t.Fatalf("inconsistent escrow: %+v", tree)
		}
	})
	if m.spent > simulatedBudget {
		t.Fatalf("spent %d tokens of a budget of %d", m.spent, simulatedBudget)
	}
}

// checkReaders compares every process that has read the whole log, and a new
// reader that starts at the oldest retained record, with the reference state.
func (m *simulation) checkReaders(t *rapid.T, want string) {
	newReader := NewState(1, m.oldest)
	for _, r := range m.log[m.oldest:] {
		newReader.Apply(r)
	}
	if got := dump(newReader.Partition(0)); got != want {
		t.Fatalf("reader from offset %d has\n%s\nwant\n%s", m.oldest, got, want)
	}
	for _, h := range m.processes {
		if got := dump(h.part()); h.next == int64(len(m.log)) && got != want {
			t.Fatalf("%s has\n%s\nwant\n%s", h.self.Host, got, want)
		}
	}
}

// checkHistory verifies that no recorded turn changes or is lost.
func (m *simulation) checkHistory(t *rapid.T, p *Partition) {
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
			t.Fatalf("program %s was lost", id)
		}
	}
}

// TestInterleavings runs random steps of several processes over one log and
// verifies after each step that readers agree, no turn is lost, no call is
// dispatched twice and no budget is exceeded.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation()
		actions := map[string]func(*rapid.T){
			"claim":     m.claim,
			"tail":      m.tailSome,
			"catch up":  m.tailAll,
			"repeat":    m.repeat,
			"garbage":   m.garbage,
			"die":       m.restart,
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
			"save":      m.checkpointAndTrim,
			"":          m.check,
		}
		for range 5 {
			t.Repeat(actions)
		}
	})
}
