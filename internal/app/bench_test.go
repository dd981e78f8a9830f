package app_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yuccausher/internal/adapter/engine"
	"yuccausher/internal/core/partition"
	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

// The bounds of the measured times, in microseconds.
const (
	leastTime = 1
	mostTime  = 60_000_000
)

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(leastTime, mostTime, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(d.Microseconds()) }

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// BenchmarkForwardedFirstToken compares the time to the first piece of a
// streamed model call, through a host that forwards it to its owner, with the
// time when the stand-in's engine is called directly. No record of the log is
// awaited on that way. The whole call, which awaits its turn's record, is
// reported beside it.
func BenchmarkForwardedFirstToken(b *testing.B) {
	f := newFleet(b)
	direct, forwarded, whole := newTimes(), newTimes(), newTimes()
	client := engine.New()
	defer client.Close()
	target := f.engineTarget()
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		record(direct, f.firstDirect(client, target, n))
		path, entry := f.openForwarded(n)
		first, all := f.firstForwarded(path, entry, n)
		record(forwarded, first)
		record(whole, all)
	}
	b.StopTimer()
	for _, q := range []float64{50, 99} {
		name := fmt.Sprintf("p%.0f", q)
		b.ReportMetric(milliseconds(direct, q), "direct-ms-"+name)
		b.ReportMetric(milliseconds(forwarded, q), "forwarded-ms-"+name)
		b.ReportMetric(milliseconds(forwarded, q)-milliseconds(direct, q), "added-ms-"+name)
		b.ReportMetric(milliseconds(forwarded, q)/milliseconds(direct, q), "ratio-"+name)
		b.ReportMetric(milliseconds(whole, q), "whole-ms-"+name)
	}
}

// engineTarget returns an engine of the small model from the configuration.
func (f *fleet) engineTarget() port.Target {
	var document struct {
		Targets []struct{ Name, Address, Model string }
	}
	_, data := f.send(0, "GET", "/v1/config", nil)
	f.NoErr(json.Unmarshal(data, &document))
	for _, t := range document.Targets {
		if t.Model == standin.ModelSmall {
			return port.Target{Name: t.Name, Address: t.Address}
		}
	}
	f.t.Fatal("no engine")
	return port.Target{}
}

const benchTokens = 4

func (f *fleet) firstDirect(client *engine.Client, target port.Target, n int) time.Duration {
	var first time.Duration
	started := time.Now()
	_, err := client.Generate(f.t.Context(), target, port.ModelCall{
		ProgramID: fmt.Sprint("direct-", n), Seq: 1, RequestID: fmt.Sprint("direct-", n),
		Model: standin.ModelSmall, Prompt: []port.Segment{{Role: "user", Text: benchInput(n)}}, MaxTokens: benchTokens,
	}, func(port.Delta) error {
		if first == 0 {
			first = time.Since(started)
		}
		return nil
	})
	f.NoErr(err)
	return first
}

func benchInput(n int) string { return fmt.Sprint("who holds share ", n, "?") }

// openForwarded opens a program and returns the path of its calls and a host
// that does not own it.
func (f *fleet) openForwarded(n int) (path string, entry int) {
	status, data := f.send(0, "POST", "/v1/programs", object{
		"firm": standin.OrganisationAnnuities, "agent": standin.AgentInquiry,
		"budget": object{"tokens": 1000}, "request_id": fmt.Sprint("bench-", f.seed, "-", n),
	})
	f.Equal(status, http.StatusCreated)
	var opened struct {
		ID string `json:"program_id"`
	}
	f.NoErr(json.Unmarshal(data, &opened))
	var ids []string
	for _, h := range f.hosts {
		ids = append(ids, h.Self().ID)
	}
	owner := partition.PreferredHost(partition.Of(opened.ID, partitions), ids)
	for ids[entry] == owner {
		entry++
	}
	return "/v1/programs/" + opened.ID + "/calls", entry
}

func (f *fleet) firstForwarded(path string, entry, n int) (first, whole time.Duration) {
	body, err := json.Marshal(object{
		"seq": 1, "request_id": fmt.Sprint("bench-", n, "-1"), "kind": "model", "model": standin.ModelSmall,
		"input": benchInput(n), "max_tokens": benchTokens, "stream": true,
	})
	f.NoErr(err)
	started := time.Now()
	reply, err := http.Post("http://"+f.hosts[entry].Self().ClientAddress+path, "application/json", bytes.NewReader(body))
	f.NoErr(err)
	defer func() { _ = reply.Body.Close() }()
	lines := bufio.NewScanner(reply.Body)
	done := false
	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "event: delta") {
			first = time.Since(started)
		}
		done = done || lines.Text() == "event: done"
	}
	f.True(done)
	return first, time.Since(started)
}
