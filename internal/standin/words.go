package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/port"
)

const (
	minOutputTokens   = 8
	outputTokensRange = 57
)

// words have one byte less than a token, so that a word and a space make one.
var words = []string{
	"the", "sum", "due", "and", "was", "for", "one", "day", "all", "per",
	"van", "key", "two", "not", "now", "set", "had", "who", "may", "out",
}

// outputSeed depends on the program, the turn and the prompt alone.
func outputSeed(call port.ModelCall, p prefix) uint64 {
	digest := xxhash.NewWithSeed(p.last().hash)
	digest.WriteString(call.ProgramID)
	digest.WriteString(strconv.FormatInt(call.Seq, 10))
	return digest.Sum64()
}

// outputTokens draws the length of an output from its seed.
func outputTokens(seed uint64) int64 {
	return minOutputTokens + int64(seed%outputTokensRange)
}

// output returns n tokens of text that follow from the seed.
func output(seed uint64, n int64) string {
	var b strings.Builder
	state := seed
	for range n {
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		state = state*6364136223846793005 + 1442695040888963407
		b.WriteString(words[(state>>33)%uint64(len(words))])
	}
	return b.String()
}
