package configuration

import (
	"context"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"yuccausher/internal/core/config"
	"yuccausher/internal/fault"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// publication is a change that this host is publishing.
type publication struct {
	id       string
	base     int64
	document []byte
	// version is the version that the change became; zero until it has taken effect.
	version atomic.Int64
	// ambiguous is set if an append may have taken effect.
	ambiguous bool
}

// Publish validates a document and appends it as a change of the version base. It
// returns the new version. Errors are faults: an invalid document, a conflict if base
// is not the version in effect, or an unavailable log. An append without an
// acknowledgement is repeated. The record can take effect only once, because base is
// then no longer current.
func (s *Service) Publish(ctx context.Context, base int64, document []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.PublishTimeout)
	defer cancel()
	version, err := s.publish(ctx, base, document)
	if err != nil {
		s.Metrics.Tagged(map[string]string{"type": string(fault.Of(err).Type)}).Counter("publish_refusals").Inc(1)
		return 0, err
	}
	return version, nil
}

func (s *Service) publish(ctx context.Context, base int64, document []byte) (int64, error) {
	if _, err := config.Check(document, s.currentDocument()); err != nil {
		return 0, err
	}
	if base < s.version() {
		return 0, s.conflict(base)
	}
	view, err := s.awaitView(ctx, func(v *config.View) bool { return v.Certain && v.Version >= base })
	if err != nil {
		return 0, s.readError(view, base, err)
	}
	if view.Version != base {
		return 0, s.conflict(base)
	}
	if _, err := config.Check(document, view.Document); err != nil {
		return 0, err
	}
	p := &publication{id: uuid.NewString(), base: base, document: document}
	s.register(p)
	defer s.unregister(p)
	return s.append(ctx, p)
}

// currentDocument returns the document in effect at this host, or nil.
func (s *Service) currentDocument() *config.Document {
	snapshot := s.Holder.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Document
}

func (s *Service) conflict(base int64) error {
	return fault.New(fault.Conflict, fault.NotRun, "document is based on version %d, in force is %d", base, s.version())
}

// readError returns the error of a publication whose base could not be read from the
// stream.
func (s *Service) readError(view *config.View, base int64, cause error) error {
	if view.Certain && view.Version != base {
		return s.conflict(base)
	}
	return fault.New(fault.LogUnavailable, fault.NotRun, "the configuration stream could not be read").WithCause(cause)
}

// append appends the change until the log acknowledges it or ctx ends.
func (s *Service) append(ctx context.Context, p *publication) (int64, error) {
	pause := tail.NewBackoff(s.Settings.MinRetryDelay, s.Settings.MaxRetryDelay)
	for {
		offset, err := s.appendOnce(ctx, p)
		if err == nil {
			return s.awaitOutcome(ctx, p, offset)
		}
		p.ambiguous = p.ambiguous || mayHaveBeenAppended(err)
		s.Metrics.Counter("publish_retries").Inc(1)
		tail.Sleep(ctx, pause.NextBackOff())
		if version := p.version.Load(); version != 0 {
			return version, nil
		}
		if ctx.Err() != nil {
			return 0, appendError(p, err)
		}
	}
}

func (s *Service) appendOnce(ctx context.Context, p *publication) (int64, error) {
	record := config.NewChange(p.base, s.view.Load().Next, p.id, p.document)
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	return s.Log.Append(ctx, config.Stream, [][]byte{data})
}

// awaitOutcome waits until the acknowledged record has been read. By then an append of
// the change has taken effect, or none ever will.
func (s *Service) awaitOutcome(ctx context.Context, p *publication, offset int64) (int64, error) {
	p.ambiguous = true
	_, err := s.awaitView(ctx, func(v *config.View) bool { return p.version.Load() != 0 || v.Next > offset })
	if version := p.version.Load(); version != 0 {
		return version, nil
	}
	if err != nil {
		return 0, appendError(p, err)
	}
	return 0, s.conflict(p.base)
}

// appendError returns the error of a publication that ended without an acknowledged
// append or before its record was read.
func appendError(p *publication, cause error) error {
	if p.ambiguous {
		return fault.New(fault.LogUnavailable, fault.Unknown, "the log did not say whether the document was appended").WithCause(cause)
	}
	return fault.New(fault.LogUnavailable, fault.NotRun, "the log refused the document").WithCause(cause)
}

// mayHaveBeenAppended reports whether a failed append may have taken effect.
func mayHaveBeenAppended(err error) bool {
	var failed *port.LogError
	return !errors.As(err, &failed) || failed.Ambiguous
}

func (s *Service) register(p *publication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[p.id] = p
}

func (s *Service) unregister(p *publication) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, p.id)
}

// completePublication sets the version that a publication of this host became.
func (s *Service) completePublication(id string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pending[id]; p != nil {
		p.version.Store(version)
	}
}
