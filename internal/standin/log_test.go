package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
	"yuccausher/internal/testutil"
)

var _ port.Log = (*Log)(nil)

func bytesOf(texts ...string) [][]byte {
	var out [][]byte
	for _, t := range texts {
		out = append(out, []byte(t))
	}
	return out
}

func textsOf(page port.Page) []string {
	var out []string
	for _, r := range page.Records {
		out = append(out, string(r.Data))
	}
	return out
}

func TestLogOffsetsGrowByOne(t *testing.T) {
	is := is.New(t)
	l := NewLog(LogOptions{})
	first, err := l.Append(t.Context(), "s", bytesOf("a", "b"))
	is.NoErr(err)
	second, err := l.Append(t.Context(), "s", bytesOf("c"))
	is.NoErr(err)
	is.Equal([]int64{first, second}, []int64{0, 2})
	page, err := l.Read(t.Context(), "s", 1, 0)
	is.NoErr(err)
	is.Equal(textsOf(page), []string{"b", "c"})
	is.Equal(page.Records[0].Offset, int64(1))
	is.Equal(page.End, int64(3))
	is.Equal(l.Counts(), LogCounts{Appends: 2, Records: 3})
}

func TestLogReadWaitsForAnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLog(LogOptions{})
		go func() {
			time.Sleep(time.Second)
			_, _ = l.Append(context.Background(), "s", bytesOf("a"))
		}()
		start := time.Now()
		page, err := l.Read(t.Context(), "s", 0, time.Minute)
		is.NoErr(err)
		is.Equal(textsOf(page), []string{"a"})
		is.Equal(time.Since(start), time.Second)
		page, err = l.Read(t.Context(), "s", 1, time.Minute)
		is.NoErr(err)
		is.Equal(len(page.Records), 0)
		is.Equal(time.Since(start), time.Minute+time.Second)
	})
}

func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLog(LogOptions{})
		l.Down(time.Hour)
		_, err := l.Append(t.Context(), "s", bytesOf("a"))
		is.True(testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
		_, err = l.Read(t.Context(), "s", 0, time.Minute)
		is.True(!testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
		time.Sleep(time.Hour)
		page, err := l.Read(t.Context(), "s", 0, 0)
		is.NoErr(err)
		is.Equal(page.End, int64(0)) // the append in the outage left nothing
	})
}

func TestLogLostAckTakesEffect(t *testing.T) {
	is := is.New(t)
	l := NewLog(LogOptions{})
	l.LostAck(1)
	_, err := l.Append(t.Context(), "s", bytesOf("a"))
	is.True(testutil.ErrorAs[*port.LogError](t, err).Ambiguous)
	page, err := l.Read(t.Context(), "s", 0, 0)
	is.NoErr(err)
	is.Equal(textsOf(page), []string{"a"})
	_, err = l.Append(t.Context(), "s", bytesOf("b"))
	is.NoErr(err)
}

func TestLogRefusesAboveItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLog(LogOptions{RatePerSecond: 2})
		var refused int
		for range 5 {
			if _, err := l.Append(t.Context(), "s", bytesOf("a")); err != nil {
				failed := testutil.ErrorAs[*port.LogError](t, err)
				is.True(failed.RateLimited && !failed.Ambiguous)
				refused++
			}
		}
		is.Equal(refused, 3)
		is.Equal(l.Counts().Appends, int64(2))
	})
}

func TestLogTrimsAfterItsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLog(LogOptions{Retention: time.Hour})
		_, err := l.Append(t.Context(), "s", bytesOf("a"))
		is.NoErr(err)
		time.Sleep(40 * time.Minute)
		_, err = l.Append(t.Context(), "s", bytesOf("b"))
		is.NoErr(err)
		time.Sleep(40 * time.Minute)
		page, err := l.Read(t.Context(), "s", 0, 0)
		is.NoErr(err)
		is.Equal(textsOf(page), []string{"b"})
		is.Equal(page.Oldest, int64(1))
	})
}
