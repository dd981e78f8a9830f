package follow

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"yuccausher/internal/gen/spending"
	"yuccausher/internal/port"
)

const (
	// registerInterval is how often a host renews its record.
	registerInterval = 10 * time.Second
	// registerRetry is the pause after a record that could not be written.
	registerRetry = 500 * time.Millisecond
	// hostsPause is how often the hosts' records are read. Hosts need each other
	// only while the store is away.
	hostsReadInterval = 4 * time.Second
	// hostGoneAfter is when a host that has not renewed its record is left out;
	// it allows for one lost record.
	hostExpiry = 25 * time.Second
	// unregisterTimeout bounds the removal of the record at the host's end.
	unregisterTimeout = 200 * time.Millisecond
)

// HostsParams are what Hosts are built from.
type HostsParams struct {
	// Name is this host's name, Address where other hosts reach it.
	Name       string
	Address    string
	DataCentre string
	Stream     port.KeyedStream
	// Put writes a record of the stream; an empty value removes the key.
	Put    func(ctx context.Context, key string, value []byte) error
	Logger logr.Logger
}

// Hosts keeps this host's record in the store and reads those of the others.
type Hosts struct {
	params HostsParams
	tail   *tail
	log    logr.Logger
	stop   context.CancelFunc
	done   sync.WaitGroup

	// isRead is closed when the hosts' records have been read for the first time.
	loaded    chan struct{}
	firstRead sync.Once

	mu      sync.Mutex
	entries map[string]hostRecord
}

type hostRecord struct {
	address string
	// offset and at are where and when the host's newest record was read.
	offset     int64
	receivedAt time.Time
}

// NewHosts returns a directory of the hosts.
func NewHosts(p HostsParams) *Hosts {
	h := &Hosts{params: p, log: p.Logger.WithName("hosts"), entries: make(map[string]hostRecord), loaded: make(chan struct{})}
	h.tail = &tail{stream: p.Stream, handler: h, pause: hostsReadInterval, log: h.log}
	return h
}

// Start registers the host and starts to read.
func (h *Hosts) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.done.Go(func() { h.tail.run(ctx) })
	h.done.Go(func() { h.register(ctx) })
	return nil
}

// Stop removes the host's record.
func (h *Hosts) Stop(ctx context.Context) error {
	h.stop()
	h.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := h.params.Put(ctx, h.params.Name, nil); err != nil {
		h.log.Info("The record could not be removed; it will expire.", "cause", err.Error())
	}
	return nil
}

// register renews this host's record.
func (h *Hosts) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := h.put(ctx); err != nil {
			h.log.V(1).Info("The record could not be written.", "cause", err.Error())
			sleep(ctx, registerRetry)
			continue
		}
		sleep(ctx, registerInterval)
	}
}

func (h *Hosts) put(ctx context.Context) error {
	m := &spending.Host{Address: h.params.Address, DataCentre: h.params.DataCentre}
	value, err := proto.Marshal(m)
	if err != nil {
		return errors.Annotate(err, "host record")
	}
	return h.params.Put(ctx, h.params.Name, value)
}

// Self returns this host's address.
func (h *Hosts) Self() string { return h.params.Address }

// IsKnown says whether the hosts' records have been read.
func (h *Hosts) IsKnown() bool {
	select {
	case <-h.loaded:
		return true
	default:
		return false
	}
}

// Hosts returns the addresses of the other hosts, in order.
func (h *Hosts) Hosts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]string, 0, len(h.entries))
	for _, s := range h.entries {
		if s.address != h.params.Address {
			list = append(list, s.address)
		}
	}
	slices.SortFunc(list, cmp.Compare[string])
	return list
}

func (h *Hosts) reset(records []port.KeyedRecord) {
	kept := make(map[string]bool, len(records))
	for _, r := range records {
		kept[r.Key] = true
		h.apply(r)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.entries {
		if !kept[name] {
			delete(h.entries, name)
		}
	}
	h.firstRead.Do(func() { close(h.loaded) })
}

func (h *Hosts) apply(r port.KeyedRecord) {
	record, err := decodeHost(r.Value)
	address := record.GetAddress()
	h.mu.Lock()
	defer h.mu.Unlock()
	old, isKnown := h.entries[r.Key]
	switch {
	case err != nil:
		h.log.Info("A host's record can't be read and is passed over.", "host", r.Key, "cause", err.Error())
	case address == "":
		if isKnown {
			delete(h.entries, r.Key)
			h.log.Info("Host has left.", "host", r.Key)
		}
	default:
		if !isKnown || old.address != address {
			h.log.Info("Host is known.", "host", r.Key, "address", address, "offset", r.Offset)
		}
		if !isKnown || r.Offset > old.offset {
			h.entries[r.Key] = hostRecord{address: address, offset: r.Offset, receivedAt: time.Now()}
		}
	}
}

// decodeHost reads a host's record; a removed one is empty.
func decodeHost(value []byte) (*spending.Host, error) {
	var m spending.Host
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, errors.Annotate(err, "host record")
	}
	return &m, nil
}

// read leaves out the hosts that have not renewed their records. While the
// store is away nothing is read, and all are kept.
func (h *Hosts) afterRead(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.entries {
		if now.Sub(s.receivedAt) > hostExpiry {
			delete(h.entries, name)
			h.log.Info("Host has not renewed its record and is left out.", "host", name)
		}
	}
}

// returned gives all hosts time to renew their records after an outage.
func (h *Hosts) storeRecovered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.entries {
		s.receivedAt = now
		h.entries[name] = s
	}
}
