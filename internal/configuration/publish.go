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
	// taken is the version that the change became; zero is none yet.
	taken atomic.Int64
	// ambiguous says that an append may have taken effect.
	ambiguous bool
}

// Publish validates a document whole and appends it, based on the version it
// was made from. An append whose answer is lost is repeated: the record can
// take effect only once, since its base is no longer current after that.
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
	if _, err := config.Check(document, s.inForce()); err != nil {
		return 0, err
	}
	if base < s.version() {
		return 0, s.conflict(base)
	}
	view, err := s.await(ctx, func(v *config.View) bool { return v.Certain && v.Version >= base })
	if err != nil {
		return 0, s.notRead(view, base, err)
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

// inForce returns the document in force at this host, or nil.
func (s *Service) inForce() *config.Document {
	snapshot := s.Holder.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Document
}

func (s *Service) conflict(base int64) error {
	return fault.New(fault.Conflict, fault.NotRun, "document is based on version %d, in force is %d", base, s.version())
}

// notRead tells why the stream could not be read up to the base.
func (s *Service) notRead(view *config.View, base int64, cause error) error {
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
			return s.settle(ctx, p, offset)
		}
		p.ambiguous = p.ambiguous || mayHaveRun(err)
		s.Metrics.Counter("publish_retries").Inc(1)
		tail.Sleep(ctx, pause.NextBackOff())
		if version := p.taken.Load(); version != 0 {
			return version, nil
		}
		if ctx.Err() != nil {
			return 0, unavailable(p, err)
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

// settle waits until the acknowledged record was read: by then either a copy
// of the change has been taken, or none ever will be.
func (s *Service) settle(ctx context.Context, p *publication, offset int64) (int64, error) {
	p.ambiguous = true
	_, err := s.await(ctx, func(v *config.View) bool { return p.taken.Load() != 0 || v.Next > offset })
	if version := p.taken.Load(); version != 0 {
		return version, nil
	}
	if err != nil {
		return 0, unavailable(p, err)
	}
	return 0, s.conflict(p.base)
}

func unavailable(p *publication, cause error) error {
	if p.ambiguous {
		return fault.New(fault.LogUnavailable, fault.Unknown, "the log did not say whether the document was appended").WithCause(cause)
	}
	return fault.New(fault.LogUnavailable, fault.NotRun, "the log refused the document").WithCause(cause)
}

// mayHaveRun says whether a failed append may have taken effect.
func mayHaveRun(err error) bool {
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

// resolve tells a publication of this host which version it became.
func (s *Service) resolve(id string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pending[id]; p != nil {
		p.taken.Store(version)
	}
}
