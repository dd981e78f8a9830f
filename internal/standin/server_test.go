package standin

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"yuccausher/internal/adapter/engine"
	"yuccausher/internal/adapter/hostlist"
	"yuccausher/internal/adapter/platformlog"
	"yuccausher/internal/adapter/service"
	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

func testServer(t *testing.T) (Platform, string) {
	t.Helper()
	p := NewPlatform([]port.ListedHost{{ID: "127.0.0.1:1", DataCentre: "concord"}})
	listening, err := Listen(t.Context(), p, anyPort, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listening.Close)
	return p, listening.Base
}

// published returns the document that the platform has published, checked as
// its readers check it.
func published(t *testing.T, p Platform) *config.Document {
	t.Helper()
	page, err := p.Log.Read(t.Context(), config.Stream, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	var replay config.Replay
	replay.SetOldest(page.Oldest)
	event := replay.Apply(page.Records[0].Offset, page.Records[0].AppendedAt, page.Records[0].Data)
	if event.Outcome != config.Taken {
		t.Fatalf("first configuration is %s: %v", event.Outcome, event.Err)
	}
	return replay.View().Document
}

// targetOf returns a target as the published document has it.
func targetOf(t *testing.T, p Platform, name string) port.Target {
	t.Helper()
	found := config.NewSnapshot(1, published(t, p)).Target(name)
	if found == nil {
		t.Fatalf("no target %s", name)
	}
	return port.Target{Name: found.Name, Address: found.Address}
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func inject(t *testing.T, base, body string) {
	t.Helper()
	if status, text := call(t, http.MethodPost, base+PathFaults, body); status != http.StatusOK {
		t.Fatalf("fault refused: %s", text)
	}
}

func largeCall(request string) port.ModelCall {
	c := modelCall("p", request, "how much?")
	c.Model = ModelLarge
	return c
}

func TestFirstServiceIsNotIdempotent(t *testing.T) {
	is := is.New(t)
	p, _ := testServer(t)
	document := published(t, p)
	is.True(!document.Services[0].Idempotent)
	snapshot := config.NewSnapshot(1, document)
	is.True(!snapshot.IsIdempotent(ServiceLedger, OperationPayout))
	is.True(snapshot.IsIdempotent(ServiceLedger, OperationShares))
}

func TestServerServesTheLog(t *testing.T) {
	is := is.New(t)
	p, base := testServer(t)
	client := platformlog.New(base)
	is.NoErr(p.Publish(t.Context(), nil)) // there is a document already
	offset, err := client.Append(t.Context(), "state-0", bytesOf("a", "b"))
	is.NoErr(err)
	is.Equal(offset, int64(0))
	page, err := client.Read(t.Context(), "state-0", 1, 0)
	is.NoErr(err)
	is.Equal(textsOf(page), []string{"b"})
	is.Equal(page.End, int64(2))
	is.True(!page.Records[0].AppendedAt.IsZero())
	_, counts := call(t, http.MethodGet, base+PathLog, "")
	is.Equal(counts, `{"appends":2,"records":3}`)

	inject(t, base, `{"kind":"log_lost_ack"}`)
	_, err = client.Append(t.Context(), "state-0", bytesOf("c"))
	is.True(testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
	inject(t, base, `{"kind":"log_down","duration_ms":60000}`)
	_, err = client.Append(t.Context(), "state-0", bytesOf("d"))
	is.True(testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
	_, err = client.Read(t.Context(), "state-0", 0, 0)
	is.True(err != nil)
	inject(t, base, `{"kind":"log_down","duration_ms":0}`)
	page, err = client.Read(t.Context(), "state-0", 0, 0)
	is.NoErr(err)
	is.Equal(textsOf(page), []string{"a", "b", "c"})
}

func TestServerServesEngines(t *testing.T) {
	is := is.New(t)
	p, base := testServer(t)
	client := engine.New()
	target := targetOf(t, p, "large-1")
	var streamed string
	result, err := client.Generate(t.Context(), target, largeCall("r1"), func(d port.Delta) error {
		streamed += d.Text
		return nil
	})
	is.NoErr(err)
	is.Equal(streamed, result.Output)
	spent, incarnation, err := client.ProgramUsage(t.Context(), target, "p")
	is.NoErr(err)
	is.Equal(spent, map[string]port.Usage{"r1": result.Usage})
	is.Equal(incarnation, uint64(1))
	status, err := client.Status(t.Context(), target)
	is.NoErr(err)
	is.Equal(status.Model, ModelLarge)
	_, state := call(t, http.MethodGet, base+PathTargets, "")
	is.True(strings.Contains(state, `"large-1":{"model":"large","running":0,"kv_programs":["p"]}`))
	is.NoErr(client.Evict(t.Context(), target, "p"))
	is.Equal(p.Fleet.Engine("large-1").Now().KVPrograms, []string{})

	inject(t, base, `{"kind":"crossed_answers","target":"large-1"}`)
	_, err = client.Generate(t.Context(), target, largeCall("r2"), nil)
	is.Equal(failureOf(t, err), port.FailureMismatch)
	inject(t, base, `{"kind":"crash_on_match","match":"much"}`)
	_, err = client.Generate(t.Context(), target, largeCall("r3"), nil)
	is.Equal(failureOf(t, err), port.FailureBroken)
	status = waitUp(t, client, target)
	is.Equal(status.Incarnation, uint64(2)) // it is up again at the same address
	inject(t, base, `{"kind":"target_leaving","target":"large-2"}`)
	_, err = client.Generate(t.Context(), targetOf(t, p, "large-2"), largeCall("r4"), nil)
	is.Equal(failureOf(t, err), port.FailureDraining)
}

// waitUp asks an engine for its status until it answers.
func waitUp(t *testing.T, client *engine.Client, target port.Target) port.EngineStatus {
	t.Helper()
	for {
		status, err := client.Status(t.Context(), target)
		if err == nil {
			return status
		}
		time.Sleep(relistenEvery)
	}
}

func TestServerRefusesDialsOfACrashedTarget(t *testing.T) {
	p := NewPlatform(nil)
	e := p.Fleet.Engine("large-1")
	e.options.RestartAfter = time.Hour
	listening, err := Listen(t.Context(), p, anyPort, logr.Discard())
	is.New(t).NoErr(err)
	defer listening.Close()
	target, client := targetOf(t, p, "large-1"), engine.New()
	e.Crash()
	for {
		_, err := client.Status(t.Context(), target)
		if failureOf(t, err) == port.FailureRefused {
			return
		}
		time.Sleep(relistenEvery)
	}
}

func TestServerServesServices(t *testing.T) {
	is := is.New(t)
	p, base := testServer(t)
	client := service.New()
	target := targetOf(t, p, "ledger-1")
	inject(t, base, `{"kind":"service_lost_answer","service":"ledger"}`)
	_, err := client.Invoke(t.Context(), target, posting("r"))
	is.Equal(failureOf(t, err), port.FailureBroken)
	_, counts := call(t, http.MethodGet, base+PathRuns+"?service=ledger", "")
	is.Equal(counts, `{"r":1}`)
	other := targetOf(t, p, "ledger-2")
	result, ran, known, err := client.Outcome(t.Context(), other, "ledger", "r")
	is.NoErr(err)
	is.True(ran && known)
	is.Equal(result.RequestID, "r")
	inject(t, base, `{"kind":"service_hang","service":"ledger","duration_ms":20}`)
	result, err = client.Invoke(t.Context(), other, posting("r2"))
	is.NoErr(err)
	is.Equal(result.RequestID, "r2")
}

func TestServerListsHostsAndTargets(t *testing.T) {
	is := is.New(t)
	p, base := testServer(t)
	client := hostlist.New(base)
	hosts, err := client.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(hosts, []port.ListedHost{{ID: "127.0.0.1:1", DataCentre: "concord"}})
	targets, err := client.Targets(t.Context())
	is.NoErr(err)
	is.Equal(len(targets), len(p.Fleet.TargetNames()))
}

func TestServerRefusesWrongFaults(t *testing.T) {
	_, base := testServer(t)
	for _, body := range []string{
		`{"kind":"earthquake"}`,
		`{"kind":"log_down","duration_ms":-1}`,
		`{"kind":"log_lost_ack","count":-1}`,
		`{"kind":"log_down","colour":"red"}`,
		`{"kind":"target_crash"}`,
		`{"kind":"target_crash","target":"none"}`,
		`{"kind":"target_leaving","target":"none"}`,
		`{"kind":"crash_on_match"}`,
		`{"kind":"service_lost_answer","service":"none"}`,
		`{"kind":"service_hang"}`,
		`{"kind":"crossed_answers","target":"ledger-1"}`,
		`{"kind":"host_kill","host":0}`,
		`{"kind":"host_pause","host":0}`,
		`{`,
		`{} {}`,
	} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			status, text := call(t, http.MethodPost, base+PathFaults, body)
			is.Equal(status, http.StatusBadRequest)
			is.True(strings.Contains(text, `"type":"invalid_request","run":"not_run"`))
		})
	}
}

type recordedHosts struct{ calls []string }

func (r *recordedHosts) Count() int { return 2 }

func (r *recordedHosts) Kill(int) error {
	r.calls = append(r.calls, "kill")
	return nil
}

func (r *recordedHosts) Pause(_ int, d time.Duration) error {
	r.calls = append(r.calls, "pause "+d.String())
	return nil
}

func TestInjectActsOnHosts(t *testing.T) {
	is := is.New(t)
	hosts := &recordedHosts{}
	p := Platform{Hosts: hosts}
	second, third, ms := 1, 2, int64(1500)
	is.NoErr(p.Inject(FaultRequest{Kind: FaultHostKill, Host: &second}))
	is.NoErr(p.Inject(FaultRequest{Kind: FaultHostPause, Host: &second, DurationMS: &ms}))
	is.True(p.Inject(FaultRequest{Kind: FaultHostKill, Host: &third}) != nil)
	is.True(p.Inject(FaultRequest{Kind: FaultHostKill}) != nil)
	is.Equal(hosts.calls, []string{"kill", "pause 1.5s"})
}
