package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/core/route"
	"yuccausher/internal/standin/replica"
)

// uploadBytes is more than the kernel takes before the target reads.
const uploadBytes = 3 << 20

// newUploadFixture returns a fixture that takes uploads of uploadBytes.
func newUploadFixture(t *testing.T) *fixture {
	t.Helper()
	s := newFixture(t)
	d := document()
	d.Version++
	d.Limits.BodyBytes = uploadBytes
	s.tables.StoreIfNewer(route.NewTable(d))
	return s
}

func upload(path, id string) request {
	return request{method: http.MethodPost, path: path, id: id, body: strings.Repeat("x", uploadBytes), header: turnHeader("p" + id)}
}

// A target answers a long upload early, without a length, and resets the connection in the middle of its
// answer while the upload is written. The part was passed on as a complete answer.
func TestAnswerThatIsResetUnderAnUploadIsNotComplete(t *testing.T) {
	for name, path := range map[string]string{"posting": posting, "lookup": lookup, "stream": turns, "single": single, "talk": conversationTurn} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkPartsAreNotComplete(t, path, replica.EarlyReset)
		})
	}
}

// The kernel resets the connection of a target that closes it with a part of the upload unread.
func TestAnswerThatIsClosedInsideAnUploadIsNotComplete(t *testing.T) {
	for name, path := range map[string]string{"posting": posting, "stream": turns} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkPartsAreNotComplete(t, path, replica.EarlyClose)
		})
	}
}

// checkPartsAreNotComplete sends uploads to targets that break their answers off.
func checkPartsAreNotComplete(t *testing.T, path string, fault replica.Fault) {
	t.Helper()
	is := is.New(t)
	s := newUploadFixture(t)
	s.add(app, replica.Options{ID: "app"}).FailAlways(fault)
	s.add(models, replica.Options{ID: "models", Events: 3}).FailAlways(fault)
	const uploads = 20
	complete := 0
	for n := range uploads {
		id := fmt.Sprint("r", n)
		a, err := s.send(t.Context(), upload(path, id))
		is.NoErr(err)
		if a.status == http.StatusOK && a.err == nil {
			complete++
		}
		is.Equal(s.runsOf(id), 1)
	}
	if complete > 0 {
		t.Errorf("%d of %d partial answers were passed on as complete", complete, uploads)
	}
	is.Equal(len(s.turnStore.turns), 0)
}

// An idempotent request goes to another target, and one that must not run twice does not.
func TestRequestIsRepeatedAfterAResetUnderItsUpload(t *testing.T) {
	is := is.New(t)
	s := newUploadFixture(t)
	s.add(app, replica.Options{ID: "reset", Work: time.Millisecond}).FailAlways(replica.EarlyReset)
	s.add(app, replica.Options{ID: "sound", Work: time.Millisecond})
	for n := range 8 {
		id := fmt.Sprint("r", n)
		a := s.mustSend(upload(lookup, id))
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, "answer to "+id)
		s.mustSend(upload(posting, "p"+id))
		is.Equal(s.runsOf("p"+id), 1)
	}
}

// A target may answer before it has read the upload, and end its side of the connection before that.
func TestEarlyAnswersOfSoundTargetsAreComplete(t *testing.T) {
	isPlain := func(path string) bool { return path == posting || path == lookup }
	for name, early := range map[string]replica.Fault{"end": replica.EarlyEnd, "unframed": replica.EarlyUnframed, "length": replica.Early} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newUploadFixture(t)
			s.add(app, replica.Options{ID: "app"}).FailAlways(early)
			s.add(models, replica.Options{ID: "models", Events: 3}).FailAlways(early)
			for _, path := range []string{posting, lookup, turns, single, conversationTurn} {
				if early == replica.Early && !isPlain(path) {
					continue // it sends no stream
				}
				for n := range 3 {
					id := fmt.Sprint("r", path, n)
					want := "answer to " + id
					switch {
					case early == replica.Early:
						want = "early"
					case !isPlain(path):
						want = events(1, 3)
					}
					a := s.mustSend(upload(path, id))
					is.NoErr(a.err)
					is.Equal(a.status, http.StatusOK)
					is.Equal(a.body, want)
				}
			}
		})
	}
}
