package gate

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/standin"
	"yuccausher/internal/testutil"
)

func TestPauseDelaysCallsPastTheirDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		log := g.Log(standin.NewLog(standin.LogOptions{}))
		g.Pause(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := log.Append(ctx, "s", [][]byte{{1}})
		is.True(err != nil) // the call resumes after its deadline
		is.Equal(time.Since(start), time.Minute)
		_, err = log.Append(t.Context(), "s", [][]byte{{1}})
		is.NoErr(err)
	})
}

func TestPauseDelaysAnAnswerInTransit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		log := g.Log(standin.NewLog(standin.LogOptions{Latency: time.Second}))
		time.AfterFunc(500*time.Millisecond, func() { g.Pause(time.Minute) })
		start := time.Now()
		_, err := log.Append(t.Context(), "s", [][]byte{{1}})
		is.NoErr(err)
		is.Equal(time.Since(start), time.Minute+500*time.Millisecond)
	})
}

func TestCloseFailsPausedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := New()
		inner := standin.NewLog(standin.LogOptions{})
		g.Pause(time.Hour)
		time.AfterFunc(time.Second, g.Close)
		_, err := g.Log(inner).Append(t.Context(), "s", [][]byte{{1}})
		is.True(testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
		is.Equal(inner.Counts().Appends, int64(0))
		time.Sleep(time.Hour)
	})
}

func TestCloseBreaksConnections(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	g := New()
	l := g.Listener(inner)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := l.Accept()
	is.NoErr(err)
	_, err = server.Write([]byte("a"))
	is.NoErr(err)
	g.Close()
	rest, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(rest), "a")
	_, err = server.Write([]byte("b"))
	is.Equal(err, ClosedError{})
}
