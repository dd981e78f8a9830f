package entry_test

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"yuccausher/internal/core/config"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/entry"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	_ "yuccausher/internal/testutil"
)

const self, other, third = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"

// members is a fixed membership table that a test may replace.
type members struct {
	mu      sync.Mutex
	table   []port.Member
	changed chan struct{}
}

func newMembers(ids ...string) *members {
	m := &members{changed: make(chan struct{})}
	for _, id := range ids {
		m.table = append(m.table, port.Member{Host: port.Host{ID: id}, State: port.MemberAlive})
	}
	return m
}

func (m *members) Self() port.Host { return port.Host{ID: self} }

func (m *members) Table() []port.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

func (m *members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *members) set(id string, s port.MemberState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	table := append([]port.Member(nil), m.table...)
	for i := range table {
		if table[i].ID == id {
			table[i].State = s
		}
	}
	m.table = table
	close(m.changed)
	m.changed = make(chan struct{})
}

type callFunc func(ctx context.Context, c port.Call, s port.Sink) (port.Answer, error)

// host answers calls by a function.
type host struct {
	port.Programs
	call callFunc
}

func (h *host) Call(ctx context.Context, c port.Call, s port.Sink) (port.Answer, error) {
	return h.call(ctx, c, s)
}

func (h *host) Open(ctx context.Context, s port.ProgramSpec) (port.ProgramView, error) {
	a, err := h.call(ctx, port.Call{RequestID: s.RequestID}, nil)
	return port.ProgramView{ProgramID: a.ProgramID}, err
}

// peers maps hosts to their programs.
type peers struct {
	port.Peers
	hosts map[string]callFunc
}

func (p *peers) Programs(id string) port.Programs { return &host{call: p.hosts[id]} }

func notOwner(owner string) callFunc {
	return func(context.Context, port.Call, port.Sink) (port.Answer, error) {
		return port.Answer{}, &port.NotOwnerError{Owner: owner}
	}
}

func answers(target string) callFunc {
	return func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
		return port.Answer{ProgramID: c.ProgramID, Target: target}, nil
	}
}

// script answers the n-th call by the n-th function, and then by the last.
func script(steps ...callFunc) (callFunc, *int) {
	n := new(int)
	return func(ctx context.Context, c port.Call, s port.Sink) (port.Answer, error) {
		step := steps[min(*n, len(steps)-1)]
		*n++
		return step(ctx, c, s)
	}, n
}

func broken(id string, sent bool) callFunc {
	return func(context.Context, port.Call, port.Sink) (port.Answer, error) {
		return port.Answer{}, &port.PeerError{Host: id, Sent: sent}
	}
}

func refuses(f *fault.Fault) callFunc {
	return func(context.Context, port.Call, port.Sink) (port.Answer, error) {
		return port.Answer{}, f
	}
}

func document() *config.Document {
	return &config.Document{
		Partitions: 64,
		Models:     []config.Model{{Name: "m", TimeoutMS: 30_000}},
		Services: []config.Service{{Name: "ledger", TimeoutMS: 20_000, Operations: []config.Operation{
			{Name: "read", Idempotent: true, TimeoutMS: 2_000},
		}}},
	}
}

func newRouter(m *members, local callFunc, hosts map[string]callFunc, scope tally.Scope) *entry.Router {
	holder := &config.Holder{}
	holder.StoreIfNewer(config.NewSnapshot(1, document()))
	return entry.New(entry.Params{
		Config: holder, Members: m, Local: &host{call: local}, Peers: &peers{hosts: hosts},
		Log: logr.Discard(), Scope: scope,
	})
}

// programAt returns a program whose partition has the given first host.
func programAt(first string, hosts ...string) string {
	for i := 0; ; i++ {
		id := partition.ProgramID("k"+strconv.Itoa(i), "1")
		if partition.PreferredHost(partition.Of(id, 64), hosts) == first {
			return id
		}
	}
}

func modelCall(id string) port.Call {
	return port.Call{ProgramID: id, Seq: 1, RequestID: "r", Kind: port.KindModel, Model: "m"}
}

func TestOwnerIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		call := modelCall(programAt(other, self, other, third))
		all := func() *members { return newMembers(self, other, third) }

		a, err := newRouter(all(), answers("here"), nil, nil).Call(ctx, call, nil)
		is.NoErr(err)
		is.Equal(a.Target, "here")

		hosts := map[string]callFunc{other: answers("first")}
		a, err = newRouter(all(), notOwner(""), hosts, nil).Call(ctx, call, nil)
		is.NoErr(err)
		is.Equal(a.Target, "first")

		hosts = map[string]callFunc{other: notOwner(third), third: answers("hinted")}
		a, err = newRouter(all(), notOwner(""), hosts, nil).Call(ctx, call, nil)
		is.NoErr(err)
		is.Equal(a.Target, "hinted")

		m := all()
		m.set(third, port.MemberDead)
		hosts = map[string]callFunc{other: answers("first")}
		a, err = newRouter(m, notOwner(third), hosts, nil).Call(ctx, call, nil)
		is.NoErr(err)
		is.Equal(a.Target, "first")
	})
}

func TestOpenGoesByTheTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		parent := programAt(other, self, other, third)
		hosts := map[string]callFunc{other: answers("first"), third: notOwner("")}
		r := newRouter(newMembers(self, other, third), notOwner(""), hosts, nil)
		_, err := r.Open(context.Background(), port.ProgramSpec{Organisation: "f", RequestID: "r", Parent: parent})
		is.NoErr(err)
	})
}

func TestUnreachableOwnerIsTriedUntilAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		scope := tally.NewTestScope("", nil)
		m := newMembers(self, other, third)
		call := modelCall(programAt(other, self, other, third))
		hosts := map[string]callFunc{other: broken(other, false), third: answers("successor")}
		if partition.PreferredHost(partition.Of(call.ProgramID, 64), []string{self, third}) == self {
			hosts[third] = notOwner("")
		}
		local, _ := script(notOwner(other), answers("successor"))
		r := newRouter(m, local, hosts, scope)
		time.AfterFunc(3*time.Second, func() { m.set(other, port.MemberDead) })
		a, err := r.Call(context.Background(), call, nil)
		is.NoErr(err)
		is.Equal(a.Target, "successor")
		is.True(scope.Snapshot().Counters()["entry.retries+reason=unreachable"].Value() > 0)
	})
}

func TestFrozenOwnerIsLeftWhenFoundDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMembers(self, other)
		frozen := func(ctx context.Context, _ port.Call, _ port.Sink) (port.Answer, error) {
			<-ctx.Done()
			return port.Answer{}, &port.PeerError{Host: other, Sent: true, Cause: context.Cause(ctx)}
		}
		local, _ := script(notOwner(other), answers("here"))
		scope := tally.NewTestScope("", nil)
		r := newRouter(m, local, map[string]callFunc{other: frozen}, scope)
		time.AfterFunc(4*time.Second, func() { m.set(other, port.MemberDead) })
		started := time.Now()
		a, err := r.Call(context.Background(), modelCall(programAt(other, self, other)), nil)
		is.NoErr(err)
		is.Equal(a.Target, "here")
		is.True(time.Since(started) < 5*time.Second)
		is.Equal(scope.Snapshot().Counters()["entry.retries+reason=host_lost"].Value(), int64(1))
	})
}

func TestSearchEndsWithWhatIsProved(t *testing.T) {
	cases := []struct {
		name string
		peer callFunc
		typ  fault.Type
		run  fault.Run
	}{
		{"nobody owns it", notOwner(""), fault.NotReady, fault.NotRun},
		{"never sent", broken(other, false), fault.NotReady, fault.NotRun},
		{"sent and lost", broken(other, true), fault.OutcomeUnknown, fault.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				peer, tries := script(c.peer)
				r := newRouter(newMembers(self, other), notOwner(""), map[string]callFunc{other: peer}, nil)
				started := time.Now()
				_, err := r.Call(context.Background(), modelCall(programAt(other, self, other)), nil)
				f, ok := fault.As(err)
				is.True(ok)
				is.Equal(f.Type, c.typ)
				is.Equal(f.Run, c.run)
				is.Equal(f.RequestID, "r")
				is.True(f.RetryAfter > 0)
				is.True(time.Since(started) <= 11*time.Second)
				is.True(*tries > 1)
			})
		})
	}
}

func TestTimeoutIsTheCallsOwnAndTravels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		read := port.Call{ProgramID: "a.1", RequestID: "r", Kind: port.KindService, Service: "ledger", Operation: "read"}
		cases := []struct {
			call port.Call
			want time.Duration
		}{
			{modelCall("a.1"), 30 * time.Second},
			{read, 2 * time.Second},
			{port.Call{ProgramID: "a.1", Timeout: 700 * time.Millisecond}, 700 * time.Millisecond},
		}
		for _, c := range cases {
			var got time.Duration
			hang := func(ctx context.Context, call port.Call, _ port.Sink) (port.Answer, error) {
				got = call.Timeout
				<-ctx.Done()
				return port.Answer{}, &port.PeerError{Host: other, Sent: true, Cause: ctx.Err()}
			}
			r := newRouter(newMembers(other), notOwner(""), map[string]callFunc{other: hang}, nil)
			started := time.Now()
			_, err := r.Call(context.Background(), c.call, nil)
			f := fault.Of(err)
			is.Equal(f.Type, fault.Timeout)
			is.Equal(f.Run, fault.Unknown)
			is.Equal(got, c.want)
			is.Equal(time.Since(started), c.want+500*time.Millisecond)
		}
	})
}

// TestPromiseOfNotRunIsOnlyPassedOnWhereItHolds: a new owner can't speak for
// a lost one unless the log names the call before its dispatch.
func TestPromiseOfNotRunIsOnlyPassedOnWhereItHolds(t *testing.T) {
	overloaded := fault.New(fault.Overloaded, fault.NotRun, "full")
	post := port.Call{Kind: port.KindService, Service: "ledger", Operation: "post", Idempotent: false}
	read := port.Call{Kind: port.KindService, Service: "ledger", Operation: "read", Idempotent: true}
	model := port.Call{Kind: port.KindModel, Model: "m"}
	moved := func(context.Context, port.Call, port.Sink) (port.Answer, error) {
		return port.Answer{}, &port.NotOwnerError{Owner: self, MayHaveRun: true}
	}
	cases := []struct {
		name  string
		call  port.Call
		first callFunc
		want  fault.Run
	}{
		{"posting after a lost owner", post, broken(other, true), fault.NotRun},
		{"read after a lost owner", read, broken(other, true), fault.Unknown},
		{"model call after a lost owner", model, broken(other, true), fault.Unknown},
		{"model call that was never sent", model, broken(other, false), fault.NotRun},
		{"model call that left before its owner changed", model, moved, fault.Unknown},
		{"model call at a host that is not the owner", model, notOwner(self), fault.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c.call.ProgramID = programAt(other, self, other)
				local, _ := script(notOwner(other), refuses(overloaded))
				peer, _ := script(c.first, notOwner(self))
				r := newRouter(newMembers(self, other), local, map[string]callFunc{other: peer}, nil)
				_, err := r.Call(context.Background(), c.call, nil)
				f := fault.Of(err)
				is.Equal(f.Type, fault.Overloaded)
				is.Equal(f.Run, c.want)
				is.Equal(overloaded.Run, fault.NotRun)
			})
		})
	}
}

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	r := entry.New(entry.Params{Config: &config.Holder{}, Members: newMembers(self)})
	_, err := r.Program(context.Background(), "a.1")
	f := fault.Of(err)
	is.Equal(f.Type, fault.NotReady)
	is.Equal(f.Run, fault.NotRun)
}

// TestNoPieceIsPassedOnTwice: whatever attempts fail after whatever part of
// the output, the caller gets a prefix of it once, and all of it if the last
// attempt streams from where the caller stands.
func TestNoPieceIsPassedOnTwice(t *testing.T) {
	const output = "0123456789abcdef"
	rapid.Check(t, func(rt *rapid.T) {
		lost := rapid.SliceOfN(rapid.IntRange(0, len(output)), 0, 5).Draw(rt, "lost")
		starts := rapid.SliceOfN(rapid.IntRange(0, len(output)), 6, 6).Draw(rt, "starts")
		size := rapid.IntRange(1, 5).Draw(rt, "size")
		var steps []callFunc
		for i, end := range lost {
			steps = append(steps, streams(output, starts[i], end, size, &port.PeerError{Host: other, Sent: true}))
		}
		steps = append(steps, streams(output, 0, len(output), size, nil))
		peer, _ := script(steps...)
		var got string
		synctest.Test(t, func(t *testing.T) {
			r := newRouter(newMembers(other), notOwner(other), map[string]callFunc{other: peer}, nil)
			_, err := r.Call(context.Background(), modelCall("a.1"), func(d port.Delta) error {
				if d.Offset != int64(len(got)) {
					rt.Fatalf("piece at %d after %d bytes", d.Offset, len(got))
				}
				got += d.Text
				return nil
			})
			if err != nil {
				rt.Fatal(err)
			}
		})
		if got != output {
			rt.Fatalf("got %q", got)
		}
	})
}

// TestOutputThatDiffersIsNotJoined: when a second attempt writes another
// answer, none of it is joined to what the caller has.
func TestOutputThatDiffersIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		scope := tally.NewTestScope("", nil)
		peer, _ := script(
			streams("one answer", 0, 5, 3, &port.PeerError{Host: other, Sent: true}),
			streams("two answers", 0, 11, 3, nil),
		)
		r := newRouter(newMembers(other), notOwner(other), map[string]callFunc{other: peer}, scope)
		var got string
		_, err := r.Call(context.Background(), modelCall("a.1"), func(d port.Delta) error {
			got += d.Text
			return nil
		})
		f, ok := fault.As(err)
		is.True(ok) // pieces of one answer have no end of another
		is.Equal(f.Type, fault.TargetFailed)
		is.Equal(f.Run, fault.Ran)
		is.True(f.RetryAfter > 0)
		is.Equal(got, "one a")
		is.Equal(scope.Snapshot().Counters()["entry.streams_diverged+"].Value(), int64(1))
	})
}

// TestPiecesMakeUpTheAnswer: an answer that is recorded already, or that lost
// its last pieces on the way, comes in pieces all the same.
func TestPiecesMakeUpTheAnswer(t *testing.T) {
	for _, sent := range []int{0, 4, 10} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			peer, _ := script(streams("one answer", 0, sent, 3, nil))
			r := newRouter(newMembers(other), notOwner(other), map[string]callFunc{other: peer}, tally.NoopScope)
			var got string
			a, err := r.Call(context.Background(), modelCall("a.1"), func(d port.Delta) error {
				is.Equal(d.Offset, int64(len(got)))
				got += d.Text
				return nil
			})
			is.NoErr(err)
			is.Equal(got, "one answer")
			is.Equal(string(a.Output), `"one answer"`)
		})
	}
}

// streams sends output[from:to] in pieces and then fails with err, or answers.
func streams(output string, from, to, size int, err error) callFunc {
	return func(_ context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
		for at := from; at < to; at += size {
			end := min(at+size, to)
			if err := sink(port.Delta{Offset: int64(at), Text: output[at:end]}); err != nil {
				return port.Answer{}, err
			}
		}
		if err != nil {
			return port.Answer{}, err
		}
		return port.Answer{ProgramID: c.ProgramID, Output: json.RawMessage(`"` + output + `"`)}, nil
	}
}

func TestCallerThatHasGoneEndsTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer, tries := script(func(_ context.Context, _ port.Call, sink port.Sink) (port.Answer, error) {
			return port.Answer{}, sink(port.Delta{Text: "a"})
		})
		r := newRouter(newMembers(other), notOwner(other), map[string]callFunc{other: peer}, nil)
		_, err := r.Call(context.Background(), modelCall("a.1"), func(port.Delta) error {
			return errors.New("gone")
		})
		is.Equal(fault.Of(err).Type, fault.OutcomeUnknown)
		is.Equal(*tries, 1)
	})
}
