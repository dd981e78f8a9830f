package conversation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"yuccausher/internal/core/conversation"
	"yuccausher/internal/port"
)

const (
	// pageBytes limits one read of the log, so that a page arrives within readTimeout
	// over a link of 30 Mbit/s.
	pageBytes = 256 << 10
	// probeBytes limits the records of a probe, which only checks whether the log
	// answers.
	probeBytes = 1 << 10
	// readTimeout limits a read of the log. A store that is 100 times slower than usual
	// answers within it.
	readTimeout = 450 * time.Millisecond
	// slowRead is the time after which an unanswered read counts as failing until it is
	// answered.
	slowRead = 300 * time.Millisecond
	// trimPointInterval is the minimum time between the offsets that a host records for
	// trimming.
	trimPointInterval = 5 * time.Second
	// trimInterval is the minimum time between trims of a partition.
	trimInterval = 30 * time.Second
)

// part is the state of one partition of the log at this host.
type part struct {
	service *Service
	name    port.Partition
	// reading is a lock that is held while the partition is read.
	reading chan struct{}
	next    int64
	decoder *conversation.Decoder
	// readAt is when the last complete read to the end of the partition started. It is
	// guarded by reading.
	readAt time.Time
	// isPreloaded is true if the host has read the partition since it became its
	// preferred host. Only readPreferred uses it.
	isPreloaded bool
	// reach tracks whether the log answers for this partition. It is guarded by
	// service.mu.
	reach conversation.Availability

	mu sync.Mutex
	// trimPoints are offsets of this host's own appends, the oldest first.
	trimPoints []trimPoint
	trimmedAt  time.Time
}

// trimPoint is an offset and the time by which all records before it had been appended.
type trimPoint struct {
	offset int64
	at     time.Time
}

func newPart(s *Service, i int) *part {
	return &part{
		service: s,
		name:    port.Partition{Topic: topic, Part: i},
		reading: make(chan struct{}, 1),
		decoder: conversation.NewDecoder(i),
	}
}

// isUnavailable reports whether the log does not answer for this partition.
func (p *part) isUnavailable() bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	return p.reach.IsUnavailable(time.Now())
}

// catchUp reads the partition up to its current end into the cache. It returns an error
// if the log could not be read or ctx has ended.
func (p *part) catchUp(ctx context.Context) error {
	asked := time.Now()
	if err := p.lock(ctx); err != nil {
		return err
	}
	defer p.unlock()
	if p.readAt.After(asked) {
		// Another lookup has read the partition in the meantime.
		return nil
	}
	started := time.Now()
	if err := p.read(ctx, &p.next, p.decoder, p.service.cacheTurn); err != nil {
		return err
	}
	p.readAt = started
	return nil
}

// lock makes the caller the only reader of the partition. It returns an error if ctx
// ends first.
func (p *part) lock(ctx context.Context) error {
	select {
	case p.reading <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *part) unlock() { <-p.reading }

// scan searches all records that the log keeps for a turn and returns its chain, or nil
// if the turn is missing. It reads the records twice, first for the links between turns
// and then for the turns of the chain, so that it holds only the chain in memory. It
// returns errGap if an earlier turn is missing.
func (p *part) scan(ctx context.Context, turn string) (conversation.Chain, error) {
	previous := make(map[string]string)
	err := p.readAll(ctx, func(t *conversation.Turn) { previous[t.ID] = t.Previous })
	if err != nil {
		return nil, err
	}
	if _, ok := previous[turn]; !ok {
		return nil, nil
	}
	var ids []string
	for id := turn; id != "" && len(ids) <= len(previous); id = previous[id] {
		ids = append(ids, id)
	}
	chain := make(conversation.Chain, len(ids))
	err = p.readAll(ctx, func(t *conversation.Turn) {
		if i := slices.Index(ids, t.ID); i >= 0 {
			chain[len(ids)-1-i] = t
		}
	})
	if err != nil {
		return nil, err
	}
	if slices.Contains(chain, nil) || !chain.IsComplete() {
		return nil, errGap
	}
	return chain, nil
}

// readAll passes all turns that the log keeps to take.
func (p *part) readAll(ctx context.Context, take func(*conversation.Turn)) error {
	if err := p.lock(ctx); err != nil {
		return err
	}
	defer p.unlock()
	var next int64
	return p.read(ctx, &next, conversation.NewDecoder(p.name.Part), take)
}

// read passes the turns from an offset to the end of the partition to take, and
// advances next.
func (p *part) read(ctx context.Context, next *int64, d *conversation.Decoder, take func(*conversation.Turn)) error {
	for {
		page, err := p.page(ctx, *next, pageBytes)
		var failed *port.SharedLogError
		if errors.As(err, &failed) && failed.Failure == port.LogTrimmed {
			*next = failed.Oldest
			continue
		}
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			t, err := d.Decode(record)
			if err != nil {
				p.service.metrics.invalid.Inc(1)
				p.service.log.Info("Record of a turn is invalid and was skipped.", "partition", p.name.Part, "offset", *next, "cause", err.Error())
			}
			*next++
			if t != nil {
				take(t)
			}
		}
		if *next >= page.End {
			return nil
		}
		if len(page.Records) == 0 {
			return errors.Errorf("page at offset %d has no records, but the partition ends at %d", *next, page.End)
		}
	}
}

// probe checks whether the log answers for this partition. It does nothing if a read is
// in progress.
func (p *part) probe(ctx context.Context) {
	select {
	case p.reading <- struct{}{}:
		defer func() { <-p.reading }()
	default:
		return
	}
	// page passes the outcome to observe, so it is ignored here.
	_, _ = p.page(ctx, p.next, probeBytes)
}

// page reads one page of at most limit bytes and observes the outcome.
func (p *part) page(ctx context.Context, from int64, limit int) (port.RawPage, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := time.Now()
	late := time.AfterFunc(slowRead, func() { p.service.observe(p, started, errNoAnswerYet) })
	defer late.Stop()
	page, err := p.service.params.Log.Read(callCtx, p.name, port.Range{From: from, MaxBytes: limit})
	var failed *port.SharedLogError
	switch {
	case errors.As(err, &failed) && failed.Failure == port.LogTrimmed:
		p.service.observe(p, started, nil)
		return page, err
	case err != nil && ctx.Err() != nil:
		return page, err
	}
	p.service.observe(p, started, err)
	for _, r := range page.Records {
		p.service.metrics.readBytes.Inc(int64(len(r)))
	}
	return page, err
}

// errNoAnswerYet is the outcome of a call that is still unanswered after slowRead or
// slowAppend.
var errNoAnswerYet = errors.New("no answer yet")

// cacheTurn caches a turn read from the log.
func (s *Service) cacheTurn(t *conversation.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Add(t)
}

// recordAppend records the offset of an append as a trim point.
func (p *part) recordAppend(offset int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.trimPoints); n == 0 || now.Sub(p.trimPoints[n-1].at) >= trimPointInterval {
		p.trimPoints = append(p.trimPoints, trimPoint{offset: offset, at: now})
	}
}

// trim drops the records that are older than age if this host is the preferred host of
// the partition.
func (p *part) trim(now time.Time, age time.Duration) {
	before := p.trimOffset(now, age)
	if before == 0 || p.service.order(p.name.Part)[0] != p.service.params.Peers.Self() {
		return
	}
	ctx, cancel := context.WithTimeout(p.service.ctx, readTimeout)
	defer cancel()
	if err := p.service.params.Log.Trim(ctx, p.name, before); err != nil {
		p.service.log.Info("Partition could not be trimmed.", "partition", p.name.Part, "before", before, "cause", err.Error())
		return
	}
	p.service.log.V(1).Info("Partition was trimmed.", "partition", p.name.Part, "before", before)
}

// trimOffset returns an offset before which all records are older than age, and removes
// the trim points up to it. It returns zero if there is none or the last trim was less
// than trimInterval ago.
func (p *part) trimOffset(now time.Time, age time.Duration) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var before int64
	n := 0
	for _, point := range p.trimPoints {
		if now.Sub(point.at) <= age {
			break
		}
		before = point.offset
		n++
	}
	if n == 0 || now.Sub(p.trimmedAt) < trimInterval {
		return 0
	}
	p.trimPoints = p.trimPoints[n:]
	p.trimmedAt = now
	return before
}
