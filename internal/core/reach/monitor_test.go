package reach

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "yuccausher/internal/testutil"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestOneTargetThatFailsIsNoSign(t *testing.T) {
	is := is.New(t)
	m := New()
	for ms := range 100 {
		m.Failed("a", at(ms))
	}
	is.True(m.Suspects(at(100)) == None)
	m.Failed("b", at(100))
	is.True(m.Suspects(at(100)) != None)
	m.Connected()
	is.True(m.Suspects(at(100)) == None)
	m.Failed("a", at(200))
	m.Failed("b", at(200+int(failureTTL.Milliseconds())+1))
	is.True(m.Suspects(at(200+int(failureTTL.Milliseconds())+1)) == None)
}

// Requests wait on open connections, and no target sends anything.
func TestSilenceIsASignOnlyWhileRequestsWait(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Received(at(0))
	is.True(m.Suspects(at(10_000)) == None)
	w := m.Wait(at(10_000))
	is.True(m.Suspects(at(10_300)) == None)
	is.True(m.Suspects(at(10_400)) != None)
	m.Received(at(10_350)) // another target answers
	is.True(m.Suspects(at(10_400)) == None)
	is.True(m.Suspects(at(10_800)) != None)
	m.Answered(w)
	is.True(m.Suspects(at(20_000)) == None)
}

func TestOpenConnectionsThatWorkAreNotGivenUp(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Received(at(100))
	is.Equal(m.Examined(at(150), at(400)), Refused)
	m.Received(at(700))
	is.Equal(m.Examined(at(650), at(900)), Refused)
	m.Wait(at(900))
	is.Equal(m.Examined(at(1200), at(1450)), CutOff)
	is.True(m.Suspects(at(1450)) != None)
	m.Connected()
	is.Equal(m.State(), Connected)
}

// Whatever happened before, a host that reaches one target believes so.
func TestAcceptedConnectionEndsTheCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		now := 0
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			now += rapid.IntRange(0, 1000).Draw(t, "ms")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.Failed(strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "target")), at(now))
			case 1:
				m.Received(at(now))
			case 2:
				m.Wait(at(now))
			case 3:
				if m.Suspects(at(now)) != None {
					m.Examined(at(now-250), at(now))
				}
			case 4:
				m.Connected()
				if m.State() != Connected {
					t.Fatal("still ", m.State())
				}
			}
		}
	})
}
