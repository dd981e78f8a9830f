package spending

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"yuccausher/internal/core/budget"
	"yuccausher/internal/port"
	"yuccausher/internal/standin/metastore"
)

// delayedReads delays the answers of reads until release is closed.
type delayedReads struct {
	*metastore.Client
	release chan struct{}
}

func (h *delayedReads) Read(ctx context.Context, p port.Partition, r port.Range) (port.RawPage, error) {
	page, err := h.Client.Read(ctx, p, r)
	<-h.release
	return page, err
}

// A claim may be applied on the answer to its append while a read that includes it is
// in progress. The read must not advance the book a second time, or it would skip the
// next claim.
func TestPageWithAppliedClaimDoesNotSkipTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const writer = 7
		p := port.Partition{Topic: topic}
		log := &delayedReads{Client: metastore.New().Client("host"), release: make(chan struct{})}
		l := newLedger(log, p, writer, logr.Discard(), newMetrics(tally.NoopScope), make(chan struct{}, 1))
		l.availability.onAnswer, l.availability.onSlowRead, l.availability.onUnavailable, l.availability.onRecovered = func() {}, func() {}, func() {}, func() {}
		claim := func(sequence uint64, program string) (int64, []*pendingClaim) {
			s := &slice{program: program, budget: 900, isClaiming: true, Slice: budget.Slice{Sequence: sequence}}
			l.slices[program] = s
			c := budget.Claim{Writer: writer, Sequence: sequence, Program: program, Budget: 900, Total: 600}
			records, err := encodeAll([]budget.Claim{c}, mark{})
			is.NoErr(err)
			offset, err := log.Append(t.Context(), p, records)
			is.NoErr(err)
			return offset, []*pendingClaim{{claim: c, slice: s, waiters: []*waiter{{program: program}}}}
		}
		offset, batch := claim(1, "first")
		read := make(chan error, 1)
		go func() { read <- l.catchUp(t.Context(), 0) }()
		time.Sleep(time.Millisecond)
		is.NoErr(l.applyBatch(t.Context(), offset, batch))
		close(log.release)
		is.NoErr(<-read)
		is.Equal(l.appliedOffset(), int64(1))

		offset, batch = claim(2, "second")
		is.NoErr(l.applyBatch(t.Context(), offset, batch))
		is.Equal(l.book.Claimed("second"), int64(600)) // the second claim counts
		is.Equal(l.verdicts[2], budget.Accepted)
	})
}

// All hosts start together and read partitions from a store that is busy with sending
// them. The first turns wait for the reads; nobody takes the store for unavailable.
func TestSlowInitialReadsAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		for i := range 160 {
			is.NoErr(turn(f.hosts[i%12], fmt.Sprint("p", i), 20000, 280, 70))
		}
		largest := 0
		for part := range partitions {
			page, err := f.store.Client("x").Read(t.Context(), port.Partition{Topic: topic, Part: part}, port.Range{})
			is.NoErr(err)
			size := 0
			for _, r := range page.Records {
				size += len(r)
			}
			largest = max(largest, size)
		}
		f.store.SetBytesPerSecond(largest * 10 / 7) // the largest partition takes 700 ms
		f.isBusy.Store(true)
		f.restart(t)
		for i := range 40 {
			is.NoErr(turn(f.hosts[(i*5)%12], fmt.Sprint("p", i), 20000, 280, 70))
			for _, s := range f.hosts {
				is.True(!s.isUnavailable())
			}
		}
	})
}
