package configuration_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
)

// outageSettleTime is longer than the longest pause between two failed reads.
const outageSettleTime = 5 * time.Second

// has reports whether err is a fault with a type and a run state.
func has(err error, t fault.Type, run fault.Run) bool {
	f, ok := fault.As(err)
	return ok && f.Type == t && f.Run == run
}

func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	run(t, 4, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var base int64
		for range 20 {
			versions, errs := f.publish(base, f.hosts...)
			winners := 0
			for i, err := range errs {
				if err == nil {
					winners++
					base = versions[i]
					continue
				}
				is.True(has(err, fault.Conflict, fault.NotRun))
			}
			is.Equal(winners, 1)
			time.Sleep(settleTime)
			is.True(f.all(base))
		}
	})
}

func TestPublishRefusesInvalidDocument(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		is := is.New(t)
		_, errs := f.publish(0, f.hosts[0])
		is.NoErr(errs[0])
		_, err := f.hosts[0].service.Publish(context.Background(), 1, []byte(`{"format":1,"extra":1}`))
		is.True(has(err, fault.InvalidConfig, fault.NotRun))
		var paths []string
		for _, field := range fault.Of(err).Fields {
			paths = append(paths, field.Path)
		}
		is.Equal(paths, []string{"extra", "partitions", "streams"})
		is.Equal(f.versions(), []int64{1})
		is.Equal(f.hosts[0].counter("publish_refusals", "type=invalid_config"), int64(1))
	})
}

func TestLostAcknowledgementIsResolvedByReading(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var base int64
		for _, lost := range []int{1, 2, 5, 100} {
			f.log.LostAck(lost)
			versions, errs := f.publish(base, f.hosts[0])
			is.NoErr(errs[0])
			is.True(versions[0] > base)
			f.log.LostAck(0)
			time.Sleep(settleTime)
			is.True(f.all(versions[0]))
			base = versions[0]
		}
		is.Equal(f.hosts[1].counter("records", "outcome=taken"), int64(4))
	})
}

func TestLogDownWhilePublishing(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.log.Down(2 * time.Second)
		versions, errs := f.publish(0, f.hosts[0])
		is.NoErr(errs[0]) // retried until the short outage ends
		time.Sleep(outageSettleTime)
		f.log.Down(time.Minute)
		start := time.Now()
		_, errs = f.publish(versions[0], f.hosts[1])
		is.True(has(errs[0], fault.LogUnavailable, fault.Unknown)) // an append may have taken effect
		is.True(time.Since(start) <= 6*time.Second)
		f.hosts[2].cutOff.Store(true)
		_, errs = f.publish(versions[0], f.hosts[2])
		is.True(has(errs[0], fault.LogUnavailable, fault.NotRun)) // each append was refused
		time.Sleep(time.Minute)
		is.True(f.all(versions[0]))
	})
}

func TestLogDownWhileHostStarts(t *testing.T) {
	run(t, 4, func(t *testing.T, f *fleet) {
		is := is.New(t)
		versions, errs := f.publish(0, f.hosts[0])
		is.NoErr(errs[0])
		time.Sleep(settleTime)
		f.hosts[3].stop()
		f.log.Down(time.Hour)
		f.hosts[3].start()
		_, _, ok := f.hosts[3].service.Current()
		is.True(!ok)
		time.Sleep(5 * time.Second)
		version, raw, ok := f.hosts[3].service.Current()
		is.True(ok)
		is.Equal(version, versions[0])
		is.Equal(string(raw), string(document(1)))
		_, errs = f.publish(version, f.hosts[3])
		is.True(has(errs[0], fault.LogUnavailable, fault.NotRun))
		time.Sleep(time.Hour)
		_, errs = f.publish(version, f.hosts[3])
		is.NoErr(errs[0])
	})
}

func TestHostsRejoinAfterADay(t *testing.T) {
	run(t, 4, func(t *testing.T, f *fleet) {
		is := is.New(t)
		var base int64
		publish := func() {
			versions, errs := f.publish(base, f.hosts[0])
			is.NoErr(errs[0])
			base = versions[0]
		}
		publish()
		time.Sleep(settleTime)
		f.hosts[2].cutOff.Store(true)
		f.hosts[3].stop()
		for range 24 {
			time.Sleep(time.Hour)
			publish()
		}
		f.hosts[3].start()
		f.hosts[2].cutOff.Store(false)
		time.Sleep(5 * time.Second)
		is.True(f.all(base))
		versions, errs := f.publish(base, f.hosts[2], f.hosts[3])
		is.True((errs[0] == nil) != (errs[1] == nil)) // one winner
		time.Sleep(settleTime)
		is.True(f.all(max(versions[0], versions[1])))
	})
}

func TestVersionOutlivesRetention(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		versions, errs := f.publish(0, f.hosts[0])
		is.NoErr(errs[0])
		for round := range 6 {
			time.Sleep(retention)
			if round == 2 {
				f.log.Down(retention * 45 / 100)
				time.Sleep(retention * 45 / 100)
			}
			h := f.hosts[round%len(f.hosts)]
			h.stop()
			h.start()
			time.Sleep(settleTime)
			is.True(f.all(versions[0]))
		}
		is.True(f.log.Counts().Appends < 20) // about two copies per retention and not one per host
		for _, h := range f.hosts {
			h.stop()
		}
		f.hosts[2].start()
		time.Sleep(settleTime)
		is.Equal(f.hosts[2].version(), versions[0]) // from the log only, without peers
		_, errs = f.publish(versions[0], f.hosts[2])
		is.NoErr(errs[0])
	})
}

func TestInvalidRecordsAreSkipped(t *testing.T) {
	run(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		_, errs := f.publish(0, f.hosts[0])
		is.NoErr(errs[0])
		for _, data := range []string{
			"", "\x00\xff", "{}", "null", "[]", `{"base":"1"}`, `{"base":1}`, `{"base":1,"version":1,"document":{}}`,
			`{"version":0,"document":{}}`, `{"base":1,"document":{"format":2,"new":true}}`,
			`{"base":1,"document":{"format":1}}`, `{"version":7,"document":{"format":1}}`,
		} {
			f.appendRaw(data)
		}
		time.Sleep(settleTime)
		is.True(f.all(1))
		is.Equal(f.hosts[1].counter("records", "outcome=garbage"), int64(9))
		is.Equal(f.hosts[1].counter("records", "outcome=future_format"), int64(1))
		is.Equal(f.hosts[1].counter("records", "outcome=invalid"), int64(1))
		_, errs = f.publish(1, f.hosts[1])
		is.NoErr(errs[0])
	})
}

// TestForeignWriter appends a record that is not marked as in sequence, as operators'
// own tools write them. The hosts must append an in-sequence copy of its version.
func TestForeignWriter(t *testing.T) {
	run(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.appendRaw(`{"base":0,"document":` + string(document(3)) + `}`)
		time.Sleep(time.Minute)
		is.True(f.all(1))
		is.Equal(f.hosts[0].counter("outcome=copied")+f.hosts[1].counter("outcome=copied") > 0, true)
		is.Equal(f.log.Counts().Appends, int64(2))
	})
}

func TestRequestSeesOneVersion(t *testing.T) {
	run(t, 1, func(t *testing.T, f *fleet) {
		is := is.New(t)
		h := f.hosts[0]
		ctx, cancel := context.WithCancel(context.Background())
		mixed := make(chan string, 1)
		seen := 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			for ctx.Err() == nil {
				seen += checkSnapshot(h.holder.Load().Current(), mixed)
				time.Sleep(time.Millisecond)
			}
		}()
		var base int64
		for i := range 100 {
			version, err := h.service.Publish(ctx, base, document(i+1))
			is.NoErr(err)
			base = version
		}
		cancel()
		<-done
		is.True(seen > 10)
		select {
		case what := <-mixed:
			t.Fatal(what)
		default:
		}
	})
}

// checkSnapshot reads a snapshot over some time, as a slow request does, and checks
// that it stays consistent.
func checkSnapshot(s *config.Snapshot, mixed chan<- string) int {
	if s == nil {
		return 0
	}
	weight := s.Class("interactive").Priority
	for i := range 5 {
		time.Sleep(10 * time.Millisecond)
		organisation, target := s.Organisation(fmt.Sprint(i)).Weight, s.ModelTargets("small")[0].Concurrency
		if organisation != weight || target != weight {
			mixed <- fmt.Sprintf("class has %d, organisation %d, target %d", weight, organisation, target)
		}
	}
	return 1
}
