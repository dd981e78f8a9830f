package report

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// line returns the line of a request that ended at a second of the logs.
func line(second float64, host, fields string) string {
	return fmt.Sprintf(`%9.4f %s {"level":"info","time":"2026-06-01T16:36:42Z","part":"gateway","message":"Request ended.",%s}`+"\n", second, host, fields)
}

func read(t *testing.T, logs ...string) *Report {
	t.Helper()
	r := New(2 * time.Second)
	for _, log := range logs {
		is.New(t).NoErr(r.Read(strings.NewReader(log)))
	}
	return r
}

func TestProgramsTellWhereTheyLostTheirTime(t *testing.T) {
	is := is.New(t)
	r := read(t,
		line(1.5, "a", `"request":"1","program":"p","route":"chat","outcome":"answered","status":200,"events":3,"finish_in_ms":2000,"reserve_ms":20,"lookup_ms":10,"place_ms":2,"connect_ms":3,"first_ms":60,"keep_ms":400,"ms":900`)+
			line(4.5, "b", `"request":"2","program":"p","route":"chat","outcome":"turn_not_kept","finish_in_ms":1000,"ms":3000`),
		line(5.0, "a", `"request":"3","program":"p","route":"chat","outcome":"answered","status":200,"events":2,"finish_in_ms":0,"first_ms":30,"ms":300`)+
			line(2.0, "a", `"request":"4","program":"q","route":"plan","outcome":"answered","status":200,"events":2,"finish_in_ms":500,"first_ms":30,"ms":800`)+
			line(2.5, "a", `"request":"5","program":"ok","route":"plan","outcome":"answered","status":200,"finish_in_ms":500,"ms":80`))
	programs := r.Programs.Sorted()
	is.Equal(len(programs), 3)
	p := programs[0]
	is.Equal(p.ID, "p")
	is.Equal(p.BegunAt, 600*time.Millisecond)
	is.Equal(p.LeftMs, int64(-2000))
	is.Equal(p.Losses, Losses{Reserve: 20, Lookup: 10, Place: 2, Connect: 3, Keep: 400, Failed: 3000})
	is.Equal(p.StreamMs, int64(900-60-400+300-30))
	is.Equal(p.BeforeTargetMs, int64(60-35+30))
	is.Equal(p.LastRequest, "3")
	is.True(p.IsAvoidable())
	q := programs[1]
	is.True(q.IsLate())
	is.True(!q.IsAvoidable()) // nothing but its stream took time
	is.True(!programs[2].IsLate())

	var out strings.Builder
	is.NoErr(r.Write(&out, 10))
	is.True(strings.Contains(out.String(), "turn_not_kept 1"))
	is.True(strings.Contains(out.String(), "5 requests, 0 others, 0 unknown"))
}

func TestWindowsCountOutcomesAndTargets(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	for i := range 100 {
		log.WriteString(line(2.5, "a", fmt.Sprintf(`"request":"%d","route":"r","outcome":"answered","events":11,"first_ms":%d,"ms":%d`, i, i, i+300)))
	}
	log.WriteString(line(3.9, "b", `"request":"x","route":"r","outcome":"target_failed","target":"t1","ms":1`))
	log.WriteString(line(4.0, "b", `"request":"y","route":"r","outcome":"target_failed","target":"t1","ms":1`))
	windows := read(t, log.String()).Windows.Sorted()
	is.Equal(len(windows), 2)
	is.Equal(windows[0].Requests, 101)
	is.Equal(windows[0].FirstMs(0.5), int64(50))
	is.Equal(windows[0].FirstMs(0.95), int64(95))
	is.Equal(windows[0].EventMs(0.5), int64(30))
	is.Equal(windows[0].Targets, map[string]int{"t1": 1})
	is.Equal(windows[1].Start, 4*time.Second)
}

// Plain output of a process has no prefix; the time of day orders the requests.
func TestLogWithoutPrefix(t *testing.T) {
	is := is.New(t)
	r := read(t, `{"time":"2026-06-01T16:36:42Z","message":"Request ended.","request":"1","program":"p","outcome":"answered","ms":5}
{"time":"2026-06-01T16:36:45.5Z","message":"Request ended.","request":"2","program":"p","outcome":"answered","ms":5}`)
	is.Equal(r.Programs.Sorted()[0].EndedAt, 3500*time.Millisecond)
}

func TestAnyInputIsCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.OneOf(
			rapid.StringMatching(`[ -~]{0,40}`),
			rapid.Just(`{"message":"Request ended.","ms":"not a number"}`),
			rapid.Just(`{"message":"Host is up."}`),
			rapid.Just(strings.TrimSpace(line(1, "a", `"request":"1","outcome":"answered","ms":5`))),
		)).Draw(t, "lines")
		r := New(time.Second)
		if err := r.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
			t.Fatal(err)
		}
		want := 0
		for _, l := range lines {
			if strings.TrimSpace(l) != "" {
				want++
			}
		}
		if got := r.Scanner.Lines; got.Requests+got.Other+got.Unknown != want {
			t.Fatalf("%+v of %d lines", got, want)
		}
	})
}
