package owner

import (
	"context"
	"testing"
	"testing/synctest"

	"yuccausher/internal/port"
	"yuccausher/internal/standin"
)

func TestProgramLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, standin.LogOptions{}, nil)
		defer c.stop()
		v := c.open("open", 5000)
		again := c.open("open", 5000)
		c.is.Equal(v.ProgramID, again.ProgramID)

		var streamed string
		answer, err := c.nodes[0].Call(context.Background(), modelCall(v.ProgramID, 1, "r1"), func(d port.Delta) error {
			c.is.Equal(int64(len(streamed)), d.Offset)
			streamed += d.Text
			return nil
		})
		c.is.NoErr(err)
		c.is.Equal(text(answer.Output), streamed)
		c.is.True(len(streamed) > 0)

		posted, err := c.call(postCall(v.ProgramID, 2, "r2"))
		c.is.NoErr(err)
		c.is.Equal(posted.Seq, int64(2))
		repeated, err := c.call(postCall(v.ProgramID, 2, "r2"))
		c.is.NoErr(err)
		c.is.Equal(posted, repeated)
		c.is.Equal(c.runs.Of("post"), map[string]int{"r2": 1})

		c.is.Equal(len(c.history(v.ProgramID)), 2)
		ended, err := atOwner(c, func(n *node) (port.ProgramView, error) {
			return n.End(context.Background(), v.ProgramID)
		})
		c.is.NoErr(err)
		c.is.Equal(ended.State, port.ProgramEnded)
		c.is.Equal(ended.SpentTokens, answer.Usage.PromptTokens+answer.Usage.OutputTokens)
	})
}
