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
	// pageBytes bounds one read of the log, so that a page comes within readTimeout
	// through a link of 30 Mbit/s.
	pageBytes = 256 << 10
	// probeBytes bounds the records of a read that only looks whether the log answers.
	probeBytes = 1 << 10
	// readTimeout bounds a read of the log: one to a store that is slowed down 100
	// times is answered in time.
	readTimeout = 450 * time.Millisecond
	// lateRead is when a read counts as failing until it is answered.
	lateRead = 300 * time.Millisecond
	// noteInterval is how far apart the offsets are that a host notes to trim the log.
	noteInterval = 5 * time.Second
	// trimInterval is how often a partition is trimmed.
	trimInterval = 30 * time.Second
)

// part is one partition of the log as this host has read it.
type part struct {
	service *Service
	name    port.Partition
	// reading is held while the partition is read.
	reading chan struct{}
	next    int64
	decoder *conversation.Decoder
	// readAt is when the last read to the end began. It is guarded by reading.
	readAt time.Time
	// isOwn says that the host has read the partition since it is its home. Only
	// readOwn uses it.
	isOwn bool
	// reach is guarded by the service.
	reach conversation.Availability

	mu sync.Mutex
	// notes are offsets of this host's own appends, the oldest first.
	notes     []note
	trimmedAt time.Time
}

type note struct {
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

// isAway says whether the log does not answer for this partition.
func (p *part) isAway() bool {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	return p.reach.IsUnavailable(time.Now())
}

// catchUp reads the partition to the end that it has now.
func (p *part) catchUp(ctx context.Context) error {
	asked := time.Now()
	if err := p.lock(ctx); err != nil {
		return err
	}
	defer p.unlock()
	if p.readAt.After(asked) {
		// Another look-up has read it meanwhile.
		return nil
	}
	begun := time.Now()
	if err := p.read(ctx, &p.next, p.decoder, p.service.learn); err != nil {
		return err
	}
	p.readAt = begun
	return nil
}

// lock makes the caller the only one that reads the partition.
func (p *part) lock(ctx context.Context) error {
	select {
	case p.reading <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *part) unlock() { <-p.reading }

// scan looks for a turn in all records that the log keeps. It reads them twice, so
// that it needs memory for the turns of the chain only: first how the turns follow
// each other, then those of the chain. It returns nil if there is no such turn.
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

// readAll reads all records that the log keeps.
func (p *part) readAll(ctx context.Context, take func(*conversation.Turn)) error {
	if err := p.lock(ctx); err != nil {
		return err
	}
	defer p.unlock()
	var next int64
	return p.read(ctx, &next, conversation.NewDecoder(p.name.Part), take)
}

// read reads from an offset to the end.
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
				p.service.log.Info("A turn can't be read and is passed over.", "partition", p.name.Part, "offset", *next, "cause", err.Error())
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
			return errors.Errorf("page without records at offset %d before the end %d", *next, page.End)
		}
	}
}

// probe asks the log whether it answers again.
func (p *part) probe(ctx context.Context) {
	select {
	case p.reading <- struct{}{}:
		defer func() { <-p.reading }()
	default:
		return
	}
	// What came of it is observed.
	_, _ = p.page(ctx, p.next, probeBytes)
}

// page reads one page.
func (p *part) page(ctx context.Context, from int64, most int) (port.RawPage, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	late := time.AfterFunc(lateRead, func() { p.service.observe(p, begun, errLate) })
	defer late.Stop()
	page, err := p.service.params.Log.Read(callCtx, p.name, port.Range{From: from, MaxBytes: most})
	var failed *port.SharedLogError
	switch {
	case errors.As(err, &failed) && failed.Failure == port.LogTrimmed:
		p.service.observe(p, begun, nil)
		return page, err
	case err != nil && ctx.Err() != nil:
		return page, err
	}
	p.service.observe(p, begun, err)
	for _, r := range page.Records {
		p.service.metrics.readBytes.Inc(int64(len(r)))
	}
	return page, err
}

// errLate says that a call has not been answered yet.
var errLate = errors.New("no answer yet")

// learn takes a turn from the log.
func (s *Service) learn(t *conversation.Turn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Add(t)
}

// noteAppend notes where an append has landed.
func (p *part) noteAppend(offset int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.notes); n == 0 || now.Sub(p.notes[n-1].at) >= noteInterval {
		p.notes = append(p.notes, note{offset: offset, at: now})
	}
}

// trim drops the records that are older than age, if this host is the home of the
// partition.
func (p *part) trim(now time.Time, age time.Duration) {
	before := p.trimmable(now, age)
	if before == 0 || p.service.order(p.name.Part)[0] != p.service.params.Peers.Self() {
		return
	}
	ctx, cancel := context.WithTimeout(p.service.ctx, readTimeout)
	defer cancel()
	if err := p.service.params.Log.Trim(ctx, p.name, before); err != nil {
		p.service.log.Info("A partition could not be trimmed.", "partition", p.name.Part, "before", before, "cause", err.Error())
		return
	}
	p.service.log.V(1).Info("Partition is trimmed.", "partition", p.name.Part, "before", before)
}

// trimmable returns an offset before which all records are older than age; zero if
// none is known or the partition was trimmed a moment ago.
func (p *part) trimmable(now time.Time, age time.Duration) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var before int64
	n := 0
	for _, note := range p.notes {
		if now.Sub(note.at) <= age {
			break
		}
		before = note.offset
		n++
	}
	if n == 0 || now.Sub(p.trimmedAt) < trimInterval {
		return 0
	}
	p.notes = p.notes[n:]
	p.trimmedAt = now
	return before
}
