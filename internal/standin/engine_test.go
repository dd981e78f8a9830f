package standin

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

var testTarget = port.Target{Name: "m-a"}

func testEngine(options EngineOptions) (*Engine, port.Engine) {
	options.Name, options.Model = testTarget.Name, "m"
	options.PrefillPerToken = orDefault(options.PrefillPerToken, time.Millisecond)
	options.PerOutputToken = orDefault(options.PerOutputToken, 10*time.Millisecond)
	e := NewEngine(options)
	return e, NewFleet([]*Engine{e}, nil, nil, 0).EngineClient()
}

func modelCall(program, request, text string) port.ModelCall {
	return port.ModelCall{
		ProgramID: program, Seq: 1, RequestID: request, Model: "m", MaxTokens: 100,
		Prompt: []port.Segment{{Role: "user", Text: text}},
	}
}

func failureOf(t *testing.T, err error) port.Failure {
	t.Helper()
	return testutil.ErrorAs[*port.TargetError](t, err).Failure
}

func TestEngineStreamsItsWholeOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, client := testEngine(EngineOptions{})
		var streamed string
		result, err := client.Generate(t.Context(), testTarget, modelCall("p", "r", "how much?"), func(d port.Delta) error {
			is.Equal(d.Offset, int64(len(streamed)))
			streamed += d.Text
			return nil
		})
		is.NoErr(err)
		is.Equal(streamed, result.Output)
		is.Equal(result.Usage.PromptTokens, Tokens(len("how much?")))
		is.Equal(result.Usage.OutputTokens, Tokens(len(result.Output)))
	})
}

func TestEngineFindsThePrefixOfTheNextTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, client := testEngine(EngineOptions{})
		first := modelCall("p", "r1", "first question")
		result, err := client.Generate(t.Context(), testTarget, first, nil)
		is.NoErr(err)
		next := modelCall("p", "r2", "first question")
		next.Prompt = append(next.Prompt,
			port.Segment{Role: "assistant", Text: result.Output},
			port.Segment{Role: "user", Text: "second"})
		second, err := client.Generate(t.Context(), testTarget, next, nil)
		is.NoErr(err)
		is.Equal(second.Usage.CachedTokens, Tokens(len("first question")+len(result.Output)))
		is.NoErr(client.Evict(t.Context(), testTarget, "p"))
		is.Equal(e.Now().KVTokens, int64(0))
	})
}

func TestEngineResumesWithoutASecondPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, client := testEngine(EngineOptions{})
		call := modelCall("p", "r", "how much?")
		var cut string
		_, err := client.Generate(t.Context(), testTarget, call, func(d port.Delta) error {
			cut += d.Text
			return ReasonLostAnswer
		})
		is.Equal(failureOf(t, err), port.FailureBroken)
		call.ResumeFrom = int64(len(cut))
		var rest string
		result, err := client.Generate(t.Context(), testTarget, call, func(d port.Delta) error {
			rest += d.Text
			return nil
		})
		is.NoErr(err)
		is.Equal(cut+rest, result.Output)
		is.Equal(len(e.finished), 1)
	})
}

func TestEngineServesTheLowerPriorityValueFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, client := testEngine(EngineOptions{Concurrency: 1})
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		for i, name := range []string{"running", "late", "soon"} {
			call := modelCall(name, name, name)
			call.Priority = -i
			wg.Go(func() {
				_, err := client.Generate(t.Context(), testTarget, call, nil)
				mu.Lock()
				defer mu.Unlock()
				is.NoErr(err)
				order = append(order, name)
			})
			synctest.Wait()
		}
		wg.Wait()
		is.Equal(order, []string{"running", "soon", "late"})
	})
}

func TestEngineEvictsTheLeastRecentlyUsedProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, client := testEngine(EngineOptions{KVTokens: 250})
		for _, program := range []string{"a", "b", "c", "d", "e", "f"} {
			_, err := client.Generate(t.Context(), testTarget, modelCall(program, program, string(make([]byte, 400))), nil)
			is.NoErr(err)
			is.True(e.Now().KVTokens <= 250)
		}
		is.Equal(e.Now().KVPrograms, []string{"f"})
		events, err := client.Events(t.Context(), testTarget, 0)
		is.NoErr(err)
		is.Equal(events[len(events)-2], port.CacheEvent{Seq: uint64(len(events) - 1), ProgramID: "e", Tokens: events[len(events)-2].Tokens, Evicted: true})
	})
}

func TestEngineCrashBreaksAllThatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, client := testEngine(EngineOptions{})
		_, err := client.Generate(t.Context(), testTarget, modelCall("p", "r1", "x"), nil)
		is.NoErr(err)
		e.CrashOn("boom")
		_, err = client.Generate(t.Context(), testTarget, modelCall("p", "r2", "boom"), nil)
		is.Equal(failureOf(t, err), port.FailureBroken)
		_, err = client.Generate(t.Context(), testTarget, modelCall("p", "r3", "x"), nil)
		is.Equal(failureOf(t, err), port.FailureRefused)
		time.Sleep(defaultRestart)
		spent, incarnation, err := client.ProgramUsage(t.Context(), testTarget, "p")
		is.NoErr(err)
		is.Equal(len(spent), 0)
		is.Equal(incarnation, uint64(2))
		is.Equal(e.Now().KVTokens, int64(0))
	})
}

func TestEngineCrossesTwoAnswersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, client := testEngine(EngineOptions{})
		e.CrossAnswers(1)
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b"} {
			wg.Go(func() {
				call := modelCall(name, name, name)
				_, err := client.Generate(t.Context(), testTarget, call, nil)
				is.Equal(failureOf(t, err), port.FailureMismatch)
				_, err = client.Generate(t.Context(), testTarget, call, nil)
				is.NoErr(err)
			})
		}
		wg.Wait()
	})
}

func TestEngineLeavesAfterWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, client := testEngine(EngineOptions{})
		done := make(chan error)
		go func() {
			_, err := client.Generate(t.Context(), testTarget, modelCall("p", "r1", "x"), nil)
			done <- err
		}()
		synctest.Wait()
		e.Leave(true)
		_, err := client.Generate(t.Context(), testTarget, modelCall("p", "r2", "x"), nil)
		is.Equal(failureOf(t, err), port.FailureDraining)
		is.NoErr(<-done)
	})
}

func TestEngineRefusesAnOldEpochOnlyIfItChecks(t *testing.T) {
	is := is.New(t)
	for _, checks := range []bool{true, false} {
		_, client := testEngine(EngineOptions{ChecksFencing: checks})
		is.NoErr(client.Order(t.Context(), testTarget, port.Order{Kind: port.OrderLoad, Value: "new", Epoch: 7}))
		err := client.Order(t.Context(), testTarget, port.Order{Kind: port.OrderLoad, Value: "old", Epoch: 6})
		status, _ := client.Status(t.Context(), testTarget)
		if checks {
			is.Equal(failureOf(t, err), port.FailureFenced)
			is.Equal(status.Model, "new")
		} else {
			is.NoErr(err)
			is.Equal(status.Model, "old")
		}
	}
}

func TestEngineExportsAndImportsKV(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := NewKVStore()
		_, from := testEngine(EngineOptions{Store: store})
		to, importer := testEngine(EngineOptions{Store: store})
		call := modelCall("p", "r1", "a question")
		_, err := from.Generate(t.Context(), testTarget, call, nil)
		is.NoErr(err)
		is.NoErr(from.Order(t.Context(), testTarget, port.Order{Kind: port.OrderExport, Value: "p"}))
		is.NoErr(importer.Order(t.Context(), testTarget, port.Order{Kind: port.OrderImport, Value: "p"}))
		is.Equal(to.Now().KVPrograms, []string{"p"})
		result, err := importer.Generate(t.Context(), testTarget, call, nil)
		is.NoErr(err)
		is.Equal(result.Usage.CachedTokens, result.Usage.PromptTokens)
	})
}
