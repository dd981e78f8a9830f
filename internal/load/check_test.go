package load

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"yuccausher/internal/caller"
	"yuccausher/internal/dev"
	"yuccausher/internal/port"
)

func answered(id, request string, echo string) noted {
	call := caller.Call{Seq: 1, RequestID: request, Kind: port.KindService, Input: json.RawMessage(`{"a":1}`)}
	return noted{call: call, once: true, answered: true, answer: port.Answer{
		ProgramID: id, Seq: 1, RequestID: request, Output: json.RawMessage(`{"input":` + echo + `}`),
	}}
}

func TestChecksFindWhatMustNotBe(t *testing.T) {
	good := answered("p", "r", `{"a":1}`)
	refused := noted{call: good.call, once: true, notRun: true}
	cases := []struct {
		name    string
		call    noted
		runs    int
		finding string
	}{
		{"one run", good, 1, ""},
		{"two runs", good, 2, "ran 2 times"},
		{"no run", good, 0, "never ran"},
		{"foreign answer", answered("q", "r", `{"a":1}`), 1, "another request"},
		{"foreign output", answered("p", "r", `{"a":2}`), 1, "another request"},
		{"refused", refused, 0, ""},
		{"refused but run", refused, 1, "not_run but ran"},
	}
	for _, c := range cases {
		is := is.New(t)
		found := strings.Join(checkCalls("p", []noted{c.call}, map[string]int{"r": c.runs}), "; ")
		is.True(strings.Contains(found, c.finding)) // the case's finding
		is.Equal(found == "", c.finding == "")
	}
	is := is.New(t)
	turn := port.Turn{Seq: 1, RequestID: "r", Output: good.answer.Output}
	is.True(holds([]port.Turn{turn}, good.answer))
	turn.Output = json.RawMessage(`"other"`)
	is.True(!holds([]port.Turn{turn}, good.answer))
	is.True(!holds(nil, good.answer))
}

// TestRunOnHealthyHosts runs the tool against hosts in this process.
func TestRunOnHealthyHosts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cluster, err := dev.Start(ctx, dev.Options{Hosts: 3, Logger: logr.Discard()})
	is.NoErr(err)
	defer func() { is.NoErr(cluster.Stop(context.Background())) }()
	is.NoErr(cluster.WaitReady(ctx))
	var out bytes.Buffer
	err = Run(ctx, Options{
		Hosts: cluster.Bases(), Control: cluster.Control(), Callers: 8, Duration: time.Second, Seed: 1,
	}, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "no finding"))
}
