package pause

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPausesGrowUpToALimitAndEndWithASuccess(t *testing.T) {
	is := is.New(t)
	var h Hosts
	now := time.Unix(1000, 0)
	is.True(!h.IsPaused("a", now))
	want := minPause
	for range 10 {
		h.Failed("a", now)
		h.Failed("a", now.Add(want/2))
		is.True(h.IsPaused("a", now.Add(want-1)))
		is.True(!h.IsPaused("a", now.Add(want)))
		is.True(!h.IsPaused("b", now))
		now = now.Add(want)
		want = min(2*want, maxPause)
	}
	h.Succeeded("a")
	h.Failed("a", now)
	is.True(!h.IsPaused("a", now.Add(minPause)))
	h.Retain([]string{"b"})
	is.True(!h.IsPaused("a", now))
}
