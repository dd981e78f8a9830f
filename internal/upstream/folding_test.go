package upstream

import (
	"testing"

	"github.com/matryer/is"
)

func TestFoldedLinesAreFound(t *testing.T) {
	for head, isFolded := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n":             true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\tB: 2\r\n\r\n":            true,
		"HTTP/1.1 200 OK\nA: 1\n B: 2\n\n":                     true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n":                 true,
		"HTTP/1.1 200 OK\r\nA: 1 \r\nB:\t2\r\nC:\r\n\r\n":      false,
		"HTTP/1.1 200 OK\r\nA: 1\r\n\r\n body\r\n body\r\n":    false,
		"HTTP/1.1 200 OK\nA: 1\n\n body\n body\n":              false,
		"HTTP/1.1 200 OK\r\nA: 1\n\r\n body\r\n\tbody\r\n\r\n": false,
	} {
		for n := range len(head) {
			is := is.New(t)
			var s foldScanner
			s.scan([]byte(head[:n]))
			s.scan([]byte(head[n:]))
			is.Equal(s.isFolded, isFolded)
		}
	}
}
