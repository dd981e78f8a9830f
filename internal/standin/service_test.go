package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
)

func posting(request string) port.ServiceCall {
	return port.ServiceCall{ProgramID: "p", RequestID: request, Service: "ledger", Operation: "post_payout", Input: []byte(`{"sum":1}`)}
}

func TestServiceRunsThenLosesTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewService(ServiceOptions{Name: "ledger-a", Latency: time.Second})
		s.LoseAnswers("ledger", 1)
		_, err := s.Invoke(t.Context(), posting("r"))
		is.Equal(failureOf(t, err), port.FailureBroken)
		is.Equal(s.Runs("ledger"), map[string]int{"r": 1})
		result, ran, known, err := s.Outcome(t.Context(), "ledger", "r")
		is.NoErr(err)
		is.True(ran && known)
		is.Equal(result.RequestID, "r")
		_, err = s.Invoke(t.Context(), posting("r"))
		is.NoErr(err)
		is.Equal(s.Runs("ledger"), map[string]int{"r": 2}) // a repeat is run again
	})
}

func TestServiceHangsUntilTheCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewService(ServiceOptions{Name: "ledger-a"})
		s.Hang("ledger", 1, 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := s.Invoke(ctx, posting("r"))
		is.Equal(failureOf(t, err), port.FailureTimeout)
		is.Equal(len(s.Runs("ledger")), 0)
	})
}

func TestServiceCannotSayWhileARequestMayYetRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewService(ServiceOptions{Name: "ledger-a", Latency: time.Second})
		go func() { _, _ = s.Invoke(context.Background(), posting("r")) }()
		synctest.Wait()
		_, _, known, err := s.Outcome(t.Context(), "ledger", "r")
		is.NoErr(err)
		is.True(!known)
		time.Sleep(2 * time.Second)
		_, ran, known, err := s.Outcome(t.Context(), "ledger", "r")
		is.NoErr(err)
		is.True(ran && known)
	})
}
