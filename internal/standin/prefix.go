package standin

import (
	"github.com/cespare/xxhash/v2"

	"yuccausher/internal/port"
)

// bytesPerToken is the size of one token of text.
const bytesPerToken = 4

// Tokens returns the tokens of a text of n bytes.
func Tokens(n int) int64 { return int64(n+bytesPerToken-1) / bytesPerToken }

// prefix identifies a prompt and each of its beginnings by whole segments.
type prefix []prefixPart

type prefixPart struct {
	hash  uint64
	bytes int
}

// newPrefix returns the prefix of a prompt.
func newPrefix(segments []port.Segment) prefix {
	var p prefix
	for _, s := range segments {
		p = p.with(s)
	}
	return p
}

// with returns the prefix that one more segment makes.
func (p prefix) with(s port.Segment) prefix {
	last := p.last()
	digest := xxhash.NewWithSeed(last.hash)
	digest.WriteString(s.Role)
	digest.WriteString("\x00")
	digest.WriteString(s.Text)
	next := prefixPart{hash: digest.Sum64(), bytes: last.bytes + len(s.Text)}
	return append(p[:len(p):len(p)], next)
}

func (p prefix) last() prefixPart {
	if len(p) == 0 {
		return prefixPart{}
	}
	return p[len(p)-1]
}

// tokens returns the tokens of the whole prefix.
func (p prefix) tokens() int64 { return Tokens(p.last().bytes) }

// common returns the tokens of the beginning that p and other share.
func (p prefix) common(other prefix) int64 {
	n := 0
	for n < len(p) && n < len(other) && p[n].hash == other[n].hash {
		n++
	}
	return p[:n].tokens()
}
