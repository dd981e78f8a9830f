package config_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"yuccausher/internal/core/config"
)

// stream is a log stream whose old records expire.
type stream struct {
	records [][]byte
	oldest  int64
}

func (s *stream) end() int64 { return int64(len(s.records)) }

func (s *stream) append(data []byte) { s.records = append(s.records, data) }

// read applies at most n records that the reader lacks.
func (s *stream) read(r *config.Replay, n int) {
	r.SetOldest(s.oldest)
	for ; n > 0 && r.View().Next < s.end(); n-- {
		at := r.View().Next
		r.Apply(at, time.Unix(at, 0), s.records[at])
	}
}

func mustEncode(r config.Record) []byte {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func TestReplayGivesRacingChangesOneWinner(t *testing.T) {
	is := is.New(t)
	var s stream
	s.append(mustEncode(config.NewChange(0, 0, "a", encode(document(1)))))
	s.append(mustEncode(config.NewChange(0, 0, "b", encode(document(2)))))
	s.append(mustEncode(config.NewChange(1, 2, "c", encode(document(3)))))
	s.append([]byte("\x00garbage"))
	s.append([]byte(`{"base":3,"document":{"format":9}}`))
	s.append([]byte(`{"base":3,"document":{"format":1}}`))
	s.append(mustEncode(config.NewCopy(3, 6, encode(document(3)))))
	var r config.Replay
	r.SetOldest(0)
	var got []config.Outcome
	for i, data := range s.records {
		got = append(got, r.Apply(int64(i), time.Unix(int64(i), 0), data).Outcome)
	}
	is.Equal(got, []config.Outcome{
		config.Taken, config.Void, config.Taken, config.Garbage, config.FutureFormat, config.Invalid, config.Copied,
	})
	is.Equal(r.View().Version, int64(3))
	is.True(r.View().InSequence)
	is.Equal(r.View().CopiedAt, time.Unix(6, 0))
}

func TestReplayAfterGapWaitsForSealedRecord(t *testing.T) {
	is := is.New(t)
	doc := encode(document(1))
	s := stream{oldest: 2}
	s.append(nil)
	s.append(nil)
	s.append(mustEncode(config.NewCopy(1, 1, doc)))       // 2: landed late
	s.append(mustEncode(config.NewChange(1, 1, "", doc))) // 3: can't be judged
	var r config.Replay
	s.read(&r, 9)
	is.Equal(r.View().Version, int64(1))
	is.True(!r.View().Certain)
	s.append(mustEncode(config.NewCopy(2, 4, doc))) // 4: sealed
	s.read(&r, 9)
	is.Equal(r.View().Version, int64(2))
	is.True(r.View().Certain)
}

// TestReplayConverges lets writers that are at different offsets, racing and
// repeating themselves, change the configuration while old records expire.
func TestReplayConverges(t *testing.T) {
	doc := encode(document(1))
	rapid.Check(t, func(t *rapid.T) {
		var s stream
		var full config.Replay
		readers := make([]config.Replay, 4)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
			r := &readers[i]
			before := r.View().Version
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.read(r, rapid.IntRange(1, 5).Draw(t, "records"))
			case 2:
				if r.View().Certain {
					s.append(mustEncode(config.NewChange(r.View().Version, r.View().Next, "", doc)))
				}
			case 3:
				if r.View().Certain && r.View().Version > 0 {
					s.append(mustEncode(config.NewCopy(r.View().Version, r.View().Next, doc)))
				}
			case 4:
				if s.end() > 0 {
					s.append(s.records[rapid.IntRange(0, len(s.records)-1).Draw(t, "again")])
				}
			case 5:
				s.append([]byte("garbage"))
			case 6:
				*r = config.Replay{}
				before = 0
				s.oldest = rapid.Int64Range(s.oldest, s.end()).Draw(t, "oldest")
			}
			if r.View().Version < before {
				t.Fatalf("version went from %d to %d", before, r.View().Version)
			}
		}
		fullStream := stream{records: s.records}
		fullStream.read(&full, len(s.records))
		s.append(mustEncode(config.NewCopy(full.View().Version, s.end(), doc)))
		for i := range readers {
			s.read(&readers[i], len(s.records))
			if full.View().Version > 0 && (!readers[i].View().Certain || readers[i].View().Version != full.View().Version) {
				t.Fatalf("reader %d is at %d, want %d", i, readers[i].View().Version, full.View().Version)
			}
		}
	})
}
