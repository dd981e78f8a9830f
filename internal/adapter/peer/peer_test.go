package peer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/adapter/peer"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
)

// owner is a fake of the programs of one host.
type owner struct {
	port.Programs
	call    func(context.Context, port.Call, port.Sink) (port.Answer, error)
	open    func(context.Context, port.ProgramSpec) (port.ProgramView, error)
	history func(context.Context, string) ([]port.Turn, error)
	answer  func(context.Context, string, int64) (port.Answer, bool, error)
}

func (o *owner) Call(ctx context.Context, c port.Call, s port.Sink) (port.Answer, error) {
	return o.call(ctx, c, s)
}

func (o *owner) Open(ctx context.Context, s port.ProgramSpec) (port.ProgramView, error) {
	return o.open(ctx, s)
}

func (o *owner) History(ctx context.Context, id string) ([]port.Turn, error) {
	return o.history(ctx, id)
}

func (o *owner) Answer(ctx context.Context, id string, seq int64) (port.Answer, bool, error) {
	return o.answer(ctx, id, seq)
}

func (o *owner) Program(context.Context, string) (port.ProgramView, error) {
	return port.ProgramView{ProgramID: "another"}, nil
}

// serve starts a server on loopback and returns its address.
func serve(t testing.TB, h peer.Handlers, scope tally.Scope) string {
	t.Helper()
	is := is.New(t)
	s, err := peer.NewServer(peer.ServerParams{Handlers: h, Log: logr.Discard(), Scope: scope})
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

func newClient(t testing.TB) (*peer.Client, tally.TestScope) {
	scope := tally.NewTestScope("", nil)
	c := peer.NewClient(peer.ClientParams{Scope: scope})
	t.Cleanup(c.Close)
	return c, scope
}

func count(s tally.TestScope, name string) int64 {
	if c := s.Snapshot().Counters()[name+"+"]; c != nil {
		return c.Value()
	}
	return 0
}

func answerTo(c port.Call) port.Answer {
	return port.Answer{
		ProgramID:  c.ProgramID,
		Seq:        c.Seq,
		RequestID:  c.RequestID,
		Output:     json.RawMessage(`"hello world"`),
		Usage:      port.Usage{PromptTokens: 3, CachedTokens: 2, OutputTokens: 1},
		Target:     "engine-1",
		TurnDigest: "d1",
	}
}

func TestCallStreamsDeltasThenTheCompleteAnswer(t *testing.T) {
	is := is.New(t)
	call := port.Call{
		ProgramID: "k.1", Seq: 4, RequestID: "r4", Kind: port.KindModel, Model: "m",
		MaxTokens: 9, Stream: true, Input: json.RawMessage(`{"a":[1,null]}`), Timeout: time.Minute,
	}
	var got port.Call
	var left time.Duration
	h := &owner{call: func(ctx context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
		got = c
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
		if err := sink(port.Delta{Offset: 0, Text: "hello "}); err != nil {
			return port.Answer{}, err
		}
		if err := sink(port.Delta{Offset: 6, Text: "world"}); err != nil {
			return port.Answer{}, err
		}
		return answerTo(c), nil
	}}
	host := serve(t, peer.Handlers{Programs: h}, nil)
	client, _ := newClient(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	var pieces []port.Delta
	a, err := client.Programs(host).Call(ctx, call, func(d port.Delta) error {
		pieces = append(pieces, d)
		return nil
	})
	is.NoErr(err)
	is.Equal(a, answerTo(call))
	is.Equal(got, call)
	is.True(left > 59*time.Minute && left <= time.Hour)
	is.Equal(pieces, []port.Delta{{Offset: 0, Text: "hello "}, {Offset: 6, Text: "world"}})
}

func TestTypedFailuresAreReturnedAndKeepTheConnection(t *testing.T) {
	whole := fault.New(fault.InvalidRequest, fault.NotRun, "wrong").WithRequest("r1").WithRetryAfter(70 * time.Millisecond)
	whole.Fields = []fault.Field{{Path: "a[1]", Message: "must be 1"}}
	cases := []struct {
		name   string
		answer error
		check  func(*is.I, error)
	}{
		{"fault", whole, func(is *is.I, err error) {
			f, ok := fault.As(err)
			is.True(ok)
			is.Equal(f, whole)
		}},
		{"not owner", errors.Trace(&port.NotOwnerError{Partition: 7, Owner: "h2", MayHaveRun: true}), func(is *is.I, err error) {
			var n *port.NotOwnerError
			is.True(errors.As(err, &n))
			is.Equal(*n, port.NotOwnerError{Partition: 7, Owner: "h2", MayHaveRun: true})
		}},
		{"untyped", errors.New("secret"), func(is *is.I, err error) {
			f, ok := fault.As(err)
			is.True(ok)
			is.Equal(f.Type, fault.Internal)
			is.Equal(f.Run, fault.Unknown)
			is.Equal(f.Message, "internal failure")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &owner{
				call: func(context.Context, port.Call, port.Sink) (port.Answer, error) {
					return port.Answer{}, c.answer
				},
				open: func(context.Context, port.ProgramSpec) (port.ProgramView, error) {
					return port.ProgramView{}, c.answer
				},
				history: func(context.Context, string) ([]port.Turn, error) { return nil, c.answer },
				answer: func(context.Context, string, int64) (port.Answer, bool, error) {
					return port.Answer{}, false, c.answer
				},
			}
			host := serve(t, peer.Handlers{Programs: h}, nil)
			dials := 0
			client := peer.NewClient(peer.ClientParams{Dial: func(ctx context.Context, host string) (net.Conn, error) {
				dials++
				return net.Dial("tcp", host)
			}})
			defer client.Close()
			p := client.Programs(host)
			ctx := context.Background()
			_, err := p.Open(ctx, port.ProgramSpec{})
			c.check(is, err)
			_, err = p.Call(ctx, port.Call{}, nil)
			c.check(is, err)
			_, err = p.History(ctx, "p")
			c.check(is, err)
			_, _, err = p.Answer(ctx, "p", 1)
			c.check(is, err)
			is.Equal(dials, 1)
		})
	}
}

func TestLongHistoryPasses(t *testing.T) {
	is := is.New(t)
	text, err := json.Marshal(string(bytes.Repeat([]byte("word "), 300_000)))
	is.NoErr(err)
	turns := []port.Turn{
		{Seq: 1, RequestID: "r1", Kind: port.KindModel, Input: text, Output: json.RawMessage(`null`)},
		{Seq: 2, RequestID: "r2", Kind: port.KindService, Input: json.RawMessage(`{}`), Output: text},
		{Seq: 3, RequestID: "r3", Kind: port.KindService, Failure: "outcome_unknown"},
	}
	h := &owner{history: func(context.Context, string) ([]port.Turn, error) { return turns, nil }}
	client, _ := newClient(t)
	got, err := client.Programs(serve(t, peer.Handlers{Programs: h}, nil)).History(context.Background(), "p")
	is.NoErr(err)
	is.Equal(got, turns)
}

func TestCallersCancelCancelsTheRemoteCall(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	stopped := make(chan error, 1)
	h := &owner{call: func(ctx context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
		close(started)
		<-ctx.Done()
		stopped <- ctx.Err()
		return port.Answer{}, ctx.Err()
	}}
	client, scope := newClient(t)
	host := serve(t, peer.Handlers{Programs: h}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := client.Programs(host).Call(ctx, port.Call{ProgramID: "p"}, nil)
	var failed *port.PeerError
	is.True(errors.As(err, &failed))
	is.True(failed.Sent)
	is.True(errors.Is(err, context.Canceled))
	is.True(<-stopped != nil)
	is.Equal(count(scope, "peer_client.cancelled"), int64(1))
}

func TestSinkFailureCancelsTheRemoteCall(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	h := &owner{call: func(ctx context.Context, c port.Call, sink port.Sink) (port.Answer, error) {
		_ = sink(port.Delta{Text: "a"})
		<-ctx.Done()
		close(stopped)
		return port.Answer{}, ctx.Err()
	}}
	client, _ := newClient(t)
	gone := errors.New("gone")
	_, err := client.Programs(serve(t, peer.Handlers{Programs: h}, nil)).Call(
		context.Background(), port.Call{Stream: true}, func(port.Delta) error { return gone })
	is.True(errors.Is(err, gone))
	<-stopped
}

func TestRefusedDialWasNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	client, scope := newClient(t)
	_, err = client.Programs(l.Addr().String()).Call(context.Background(), port.Call{}, nil)
	var failed *port.PeerError
	is.True(errors.As(err, &failed))
	is.True(!failed.Sent)
	is.Equal(count(scope, "peer_client.dial_failed"), int64(1))
}

func TestPeerThatClosesMayHaveRunTheCall(t *testing.T) {
	is := is.New(t)
	host := rawServer(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 64))
	})
	client, scope := newClient(t)
	_, err := client.Programs(host).Call(context.Background(), port.Call{}, nil)
	var failed *port.PeerError
	is.True(errors.As(err, &failed))
	is.True(failed.Sent)
	is.Equal(count(scope, "peer_client.broken"), int64(1))
}

func TestMalformedMessageFromAPeerIsRejectedAndCounted(t *testing.T) {
	crossed := &owner{
		call: func(_ context.Context, c port.Call, _ port.Sink) (port.Answer, error) {
			a := answerTo(c)
			a.RequestID = "of another caller"
			return a, nil
		},
		answer: func(_ context.Context, id string, seq int64) (port.Answer, bool, error) {
			return port.Answer{ProgramID: id, Seq: seq, Output: json.RawMessage(`{`)}, false, nil
		},
	}
	real := serve(t, peer.Handlers{Programs: crossed}, nil)
	noise := rawServer(t, func(c net.Conn) {
		_, _ = c.Write(bytes.Repeat([]byte{0xff}, 64))
		_, _ = io.Copy(io.Discard, c)
	})
	cases := map[string]func(p *peer.Client) error{
		"crossed answer": func(c *peer.Client) error {
			_, err := c.Programs(real).Call(context.Background(), port.Call{ProgramID: "p", RequestID: "mine"}, nil)
			return err
		},
		"answer that is not JSON": func(c *peer.Client) error {
			_, _, err := c.Programs(real).Answer(context.Background(), "p", 1)
			return err
		},
		"another program": func(c *peer.Client) error {
			_, err := c.Programs(real).Program(context.Background(), "p")
			return err
		},
		"noise": func(c *peer.Client) error {
			_, err := c.Programs(noise).Call(context.Background(), port.Call{}, nil)
			return err
		},
	}
	for name, call := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, scope := newClient(t)
			err := call(client)
			var failed *port.PeerError
			is.True(errors.As(err, &failed))
			is.Equal(count(scope, "peer_client.garbage"), int64(1))
		})
	}
}

func TestMalformedMessageFromACallerIsRejectedAndCounted(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	host := serve(t, peer.Handlers{Programs: &owner{}}, scope)
	c, err := net.Dial("tcp", host)
	is.NoErr(err)
	_, err = c.Write(bytes.Repeat([]byte{0xff}, 64))
	is.NoErr(err)
	_, err = c.Read(make([]byte, 1))
	is.True(err != nil)
	for count(scope, "peer_server.garbage") == 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestUnimplementedCallsReturnUnimplementedError(t *testing.T) {
	is := is.New(t)
	client, _ := newClient(t)
	host := serve(t, peer.Handlers{}, nil)
	_, err := client.RelayAppend(context.Background(), host, "s", [][]byte{{1}})
	var missing *peer.UnimplementedError
	is.True(errors.As(err, &missing))
	_, _, err = client.Config(context.Background(), host)
	is.True(errors.As(err, &missing))
}

// rawServer accepts connections, passes each to handle, then closes it.
func rawServer(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}

// gossiper echoes each heartbeat with itself as the sender.
type gossiper struct{ got port.Gossip }

func (g *gossiper) Receive(_ context.Context, m port.Gossip) (port.Gossip, error) {
	g.got = m
	m.From.ID = "me"
	return m, nil
}

func (g *gossiper) Reach(_ context.Context, host string) (bool, error) { return host == "up", nil }

func TestGossipIsTransferredCompletely(t *testing.T) {
	is := is.New(t)
	g := &gossiper{}
	host := serve(t, peer.Handlers{Gossip: g}, nil)
	client, _ := newClient(t)
	since := time.Now().Add(-time.Hour)
	sent := port.Gossip{
		From:    port.Host{ID: "a", DataCentre: "salem", Incarnation: 1 << 60, ClientAddress: "b"},
		Leaving: true, ConfigVersion: 4, Digest: 1 << 63, Quarantined: []uint64{5, 1 << 63},
		Rumours: []port.Member{{Host: port.Host{ID: "c"}, State: port.MemberDead, ConfigVersion: 3, Since: since, Revision: 9}},
		Marks:   []port.CrashMark{{Fingerprint: 1 << 63, Target: "t", At: 12}},
	}
	reply, err := client.Gossip(context.Background(), host, sent)
	is.NoErr(err)
	is.Equal(reply.From.ID, "me")
	is.Equal(reply.Digest, sent.Digest)
	is.True(g.got.Rumours[0].Since.Sub(since).Abs() < time.Minute)
	g.got.Rumours[0].Since = since
	is.Equal(g.got, sent)
	for id, want := range map[string]bool{"up": true, "down": false} {
		reached, err := client.GossipVia(context.Background(), host, id)
		is.NoErr(err)
		is.Equal(reached, want)
	}
	_, err = client.Gossip(context.Background(), host, port.Gossip{})
	is.True(err != nil)
}
