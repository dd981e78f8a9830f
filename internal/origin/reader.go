package origin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/core/fleet"
	"yuccausher/internal/core/origin"
	pb "yuccausher/internal/gen/origin"
	"yuccausher/internal/port"
)

const (
	// pageBytes limits one read of starts.
	pageBytes = 256 << 10
	// firstStep is how many records before the end the search for the first relevant one
	// begins. Each further step is twice as long.
	firstStep = 64
	// clockTolerance is by how much the clocks of hosts may differ.
	clockTolerance = 5 * time.Second
)

// reader reads the shared list of releases and the starts of all hosts' streams. Lookups at the
// same time share their reads.
type reader struct {
	log  port.SharedLog
	list port.KeyedStream
	// startMemory is the age up to which starts are read.
	startMemory func() time.Duration
	logger      logr.Logger
	metrics     *metrics

	listReads  shared[*origin.History]
	startReads shared[struct{}]
	partitions []*partition

	mu    sync.Mutex
	index *origin.Index
}

// partition is a partition of the starts. It is used by one read at a time.
type partition struct {
	port.Partition
	next int64
	// readAt is when the partition was last read to its end; zero if never.
	readAt time.Time
}

func newReader(p Params, parts int, startMemory func() time.Duration, logger logr.Logger, m *metrics) *reader {
	r := &reader{log: p.Log, list: p.Releases, startMemory: startMemory, logger: logger, metrics: m, index: origin.NewIndex(maxReadStarts)}
	for part := range parts {
		r.partitions = append(r.partitions, &partition{Partition: port.Partition{Topic: topic, Part: part}})
	}
	r.listReads.read = r.readList
	r.startReads.read = r.readStarts
	return r
}

// releases returns the shared list of releases as of a moment after the call began.
func (r *reader) releases(ctx context.Context) (*origin.History, error) {
	h, err := r.listReads.get(ctx)
	if err != nil {
		return nil, err
	}
	return h.Clone(), nil
}

func (r *reader) readList(ctx context.Context) (*origin.History, error) {
	records, _, err := r.list.Newest(ctx)
	if err != nil {
		return nil, errors.Annotate(err, "shared list of releases")
	}
	h, invalid := decodeReleases(records)
	if invalid > 0 {
		r.logger.Info("Records of releases are invalid and were skipped.", "records", invalid)
	}
	return h, nil
}

// find returns the start of a stream as of a moment after the call began, or false if the log
// has no record of it.
func (r *reader) find(ctx context.Context, s origin.Stream) (origin.Start, bool, error) {
	if _, err := r.startReads.get(ctx); err != nil {
		return origin.Start{}, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	start, isKnown := r.index.Get(s)
	return start, isKnown, nil
}

// expire forgets the starts before a time.
func (r *reader) expire(before time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index.Expire(before)
}

// readStarts reads all partitions to their ends.
func (r *reader) readStarts(ctx context.Context) (struct{}, error) {
	failures := make([]error, len(r.partitions))
	var reads sync.WaitGroup
	for i, p := range r.partitions {
		reads.Go(func() { failures[i] = r.catchUp(ctx, p) })
	}
	reads.Wait()
	for _, err := range failures {
		if err != nil {
			return struct{}{}, err
		}
	}
	return struct{}{}, nil
}

// catchUp reads a partition to its end.
func (r *reader) catchUp(ctx context.Context, p *partition) error {
	if time.Since(p.readAt) > r.startMemory() {
		next, err := r.position(ctx, p.Partition)
		if err != nil {
			return err
		}
		p.next = next
	}
	for {
		page, err := r.log.Read(ctx, p.Partition, port.Range{From: p.next, MaxBytes: pageBytes})
		var failed *port.SharedLogError
		if errors.As(err, &failed) && failed.Failure == port.LogTrimmed && failed.Oldest > p.next {
			p.next = failed.Oldest
			continue
		}
		if err != nil {
			return errors.Annotatef(err, "starts of streams from offset %d", p.next)
		}
		r.add(page.Records)
		p.next += int64(len(page.Records))
		if p.next >= page.End || len(page.Records) == 0 {
			p.readAt = time.Now()
			return nil
		}
	}
}

// position returns the offset from which the records of the last startMemory are read. It steps
// back from the end, since the rate of the records is not known.
func (r *reader) position(ctx context.Context, p port.Partition) (int64, error) {
	oldest, end, _, err := r.peek(ctx, p, 0)
	if err != nil {
		return 0, err
	}
	earliest := time.Now().Add(-r.startMemory() - clockTolerance)
	for step := int64(firstStep); ; step *= 2 {
		from := max(end-step, oldest)
		if from == oldest {
			return from, nil
		}
		_, _, writtenAt, err := r.peek(ctx, p, from)
		if err != nil {
			return 0, err
		}
		if writtenAt.Before(earliest) {
			return from, nil
		}
	}
}

// peek returns the oldest offset and the end of a partition, and when the record at an offset, or
// the oldest one after it, was written; the zero time if there is none.
func (r *reader) peek(ctx context.Context, p port.Partition, from int64) (oldest, end int64, writtenAt time.Time, _ error) {
	page, err := r.log.Read(ctx, p, port.Range{From: from, MaxBytes: 1})
	var failed *port.SharedLogError
	if errors.As(err, &failed) && failed.Failure == port.LogTrimmed && failed.Oldest > from {
		return r.peek(ctx, p, failed.Oldest)
	}
	if err != nil {
		return 0, 0, time.Time{}, errors.Annotatef(err, "starts of streams at offset %d", from)
	}
	if len(page.Records) > 0 {
		var b pb.Batch
		if err := proto.Unmarshal(page.Records[0], &b); err != nil {
			r.logger.Info("Record of streams is invalid.", "offset", from, "cause", err.Error())
		}
		writtenAt = time.UnixMilli(b.GetWrittenAt())
	}
	return page.Oldest, page.End, writtenAt, nil
}

// add adds the starts of records to the index.
func (r *reader) add(records [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, data := range records {
		var b pb.Batch
		if err := proto.Unmarshal(data, &b); err != nil {
			r.logger.Info("Record of streams is invalid and was skipped.", "cause", err.Error())
			continue
		}
		writtenAt := time.UnixMilli(b.GetWrittenAt())
		for _, g := range b.GetGroups() {
			release := fleet.Release{Service: g.GetService(), Version: g.GetVersion()}
			for _, s := range g.GetStreams() {
				if !r.index.Put(origin.Start{Stream: origin.Stream(s), Release: release, Change: g.GetChange(), At: writtenAt}) {
					r.metrics.dropped.Inc(1)
				}
			}
		}
	}
}

// hashKey returns a short key for a long one.
func hashKey(key string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(key)) }
