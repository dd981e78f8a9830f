package storecall

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

// store is a shared log that answers each call at once, or refuses it for the rate of calls.
type store struct {
	port.SharedLog
	calls     atomic.Int64
	isRefused atomic.Bool
}

func (s *store) Read(context.Context, port.Partition, port.Range) (port.RawPage, error) {
	s.calls.Add(1)
	if s.isRefused.Load() {
		return port.RawPage{}, &port.SharedLogError{Op: "read", Failure: port.LogThrottled, Status: 429}
	}
	return port.RawPage{}, nil
}

func read(ctx context.Context, l *Log) error {
	_, err := l.Read(ctx, port.Partition{Topic: "t"}, port.Range{})
	return err
}

// Guards against callers that each repeat a refused call: 200 of them together make a few calls a
// second while the store refuses all, and the store serves them soon after.
func TestRefusedCallersShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		s.isRefused.Store(true)
		l := New(s, 6000, 1500, logr.Discard())
		l.SetHosts(func() int { return 87 })
		ctx, cancel := context.WithCancel(t.Context())
		for range 200 {
			go func() {
				for ctx.Err() == nil {
					_ = read(ctx, l) // repeated until the test ends
					time.Sleep(10 * time.Millisecond)
				}
			}()
		}
		time.Sleep(10 * time.Second)
		before := s.calls.Load()
		time.Sleep(time.Second)
		is.True(s.calls.Load()-before <= 5)
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		s.isRefused.Store(false)
		is.NoErr(read(t.Context(), l))
		is.NoErr(read(t.Context(), l))
	})
}

// Guards against a call for a request whose deadline passes before the call may be sent.
func TestCallThatCanNotBeSentInTimeIsNotMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{}
		l := New(s, 64, 64, logr.Discard()) // a call a second for each of the hosts
		for s.calls.Load() < 4 {
			is.NoErr(read(t.Context(), l))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		for range 20 {
			if err := read(ctx, l); err != nil {
				is.True(port.IsThrottled(err))
				is.True(testutil.ErrorAs[*port.SharedLogError](t, err).HadNoEffect())
				return
			}
		}
		t.Fatalf("%d calls were sent at once", s.calls.Load())
	})
}

// Guards against calls that operators can't attribute: each interval has one line with the calls
// by topic, operation and result.
func TestCallsAreCountedByPurpose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var lines []string
		log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		l := New(&store{}, 6000, 1500, log)
		is.NoErr(read(t.Context(), l))
		time.Sleep(reportInterval)
		is.NoErr(read(t.Context(), l))
		is.Equal(len(lines), 1)
		is.True(strings.Contains(lines[0], `"t_read_answered"=2`))
	})
}
