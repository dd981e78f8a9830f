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
	// registerRetry is the pause after a failed write of the record.
	registerRetry = 500 * time.Millisecond
	// hostsReadInterval is how often the records of the hosts are read. Hosts need each
	// other only while the store is unavailable.
	hostsReadInterval = 4 * time.Second
	// hostExpiry is the age at which the record of a host that has not been renewed is
	// dropped. It allows for one lost renewal.
	hostExpiry = 25 * time.Second
	// unregisterTimeout limits the removal of the record when the host stops.
	unregisterTimeout = 200 * time.Millisecond
)

// HostsParams are the dependencies and settings of Hosts.
type HostsParams struct {
	// Name is the name of this host, Address the address at which other hosts reach it.
	Name       string
	Address    string
	DataCentre string
	Stream     port.KeyedStream
	// Put writes a record of the stream; an empty value removes the key.
	Put    func(ctx context.Context, key string, value []byte) error
	Logger logr.Logger
}

// Hosts is the directory of the hosts. It registers this host in the store and reads
// the records of the others.
type Hosts struct {
	params HostsParams
	tail   *tail
	log    logr.Logger
	stop   context.CancelFunc
	done   sync.WaitGroup

	// loaded is closed after the records of the hosts have been read for the first
	// time.
	loaded    chan struct{}
	firstRead sync.Once

	mu      sync.Mutex
	entries map[string]hostRecord
	// renewedAt is when the last successful renewal of this host's record began.
	renewedAt time.Time
}

// hostRecord is the newest record of a host.
type hostRecord struct {
	address string
	// offset is the offset of the host's newest record, receivedAt when it was read.
	offset     int64
	receivedAt time.Time
}

// NewHosts returns a directory of the hosts. Call Start to register and read.
func NewHosts(p HostsParams) *Hosts {
	h := &Hosts{params: p, log: p.Logger.WithName("hosts"), entries: make(map[string]hostRecord), loaded: make(chan struct{})}
	h.tail = &tail{stream: p.Stream, handler: h, pause: hostsReadInterval, log: h.log}
	return h
}

// Start registers the host and starts reading in the background.
func (h *Hosts) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	h.done.Go(func() { h.tail.run(ctx) })
	h.done.Go(func() { h.register(ctx) })
	return nil
}

// Stop stops the background work and removes the host's record.
func (h *Hosts) Stop(ctx context.Context) error {
	h.stop()
	h.done.Wait()
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := h.params.Put(ctx, h.params.Name, nil); err != nil {
		h.log.Info("Record of this host could not be removed; it will expire.", "cause", err.Error())
	}
	return nil
}

// register renews the record of this host until ctx ends.
func (h *Hosts) register(ctx context.Context) {
	for ctx.Err() == nil {
		if err := h.put(ctx); err != nil {
			h.log.V(1).Info("Record of this host could not be written.", "cause", err.Error())
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
	started := time.Now()
	if err := h.params.Put(ctx, h.params.Name, value); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewedAt = started
	return nil
}

// RenewedAt returns when this host last renewed its record, which other hosts drop some
// time later; the zero time if never.
func (h *Hosts) RenewedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renewedAt
}

// Self returns the address of this host.
func (h *Hosts) Self() string { return h.params.Address }

// IsKnown reports whether the records of the hosts have been read at least once.
func (h *Hosts) IsKnown() bool {
	select {
	case <-h.loaded:
		return true
	default:
		return false
	}
}

// Hosts returns the addresses of the other hosts in ascending order.
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

// Count returns the number of hosts in the list, which includes this one as a rule; zero until the
// list has been read.
func (h *Hosts) Count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.entries)
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
		h.log.Info("Record of a host is invalid and was skipped.", "host", r.Key, "cause", err.Error())
	case address == "":
		if isKnown {
			delete(h.entries, r.Key)
			h.log.Info("Host has left.", "host", r.Key)
		}
	default:
		if !isKnown || old.address != address {
			h.log.Info("Host was added.", "host", r.Key, "address", address, "offset", r.Offset)
		}
		if !isKnown || r.Offset > old.offset {
			h.entries[r.Key] = hostRecord{address: address, offset: r.Offset, receivedAt: time.Now()}
		}
	}
}

// decodeHost decodes the record of a host. The record of a removed host is empty.
func decodeHost(value []byte) (*spending.Host, error) {
	var m spending.Host
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, errors.Annotate(err, "host record")
	}
	return &m, nil
}

// afterRead drops the hosts that have not renewed their records. It is not called while
// the store is unavailable, so all hosts are kept then.
func (h *Hosts) afterRead(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.entries {
		if now.Sub(s.receivedAt) > hostExpiry {
			delete(h.entries, name)
			h.log.Info("Host has not renewed its record and was removed.", "host", name)
		}
	}
}

// storeRecovered gives all hosts time to renew their records after an outage.
func (h *Hosts) storeRecovered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, s := range h.entries {
		s.receivedAt = now
		h.entries[name] = s
	}
}
