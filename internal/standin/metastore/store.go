// Package metastore is a stand-in of the users' metadata store: partitioned
// logs in memory, with the faults that the store may have, and its HTTP
// interface.
package metastore

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"yuccausher/internal/port"
)

// keyedPrefix begins the names of topics that keep the newest record of each
// key.
const keyedPrefix = "keyed."

// Faults are what the store does wrong. The zero value does all right.
type Faults struct {
	// Refuse makes calls fail at once, and nothing is done.
	Refuse bool
	// Silent makes calls hang until their caller gives up, and nothing is done.
	Silent bool
	// Delay is added to each call.
	Delay time.Duration
	// Only names the partitions of each topic that the three above befall; all
	// if there are none.
	Only []int
	// LoseAnswers makes that many appends take effect without an answer.
	LoseAnswers int
	// Late makes that many appends hang and take effect when Flush is called.
	Late int
}

// Store is the store's content. Client gives one host's view of it. It is safe
// for concurrent use.
type Store struct {
	// Latency is the time of a call; half of it passes before the call takes
	// effect.
	Latency time.Duration
	// Timeout is when a client gives up a call, beyond the time that the call
	// asks to wait; zero means never.
	Timeout time.Duration
	// bytesPerSecond is how fast records are read; zero means at once.
	bytesPerSecond int
	// ReadBytes counts the bytes of records that were read. It is only looked at while
	// no call is under way.
	ReadBytes int

	mu         sync.Mutex
	partitions map[port.Partition]*partition
	// views change the values that hosts read.
	views  map[string]func(value []byte) []byte
	faults map[string]Faults
	calls  int
	// perSecond is how many calls are accepted in a second; the others are refused as throttled.
	// Zero means all.
	perSecond int
	// second is the current second, and callsInSecond the calls in it.
	second, callsInSecond int64
	late                  []func()
}

type partition struct {
	first   int64
	records [][]byte
	newest  map[string]port.KeyedRecord
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{partitions: make(map[port.Partition]*partition), views: make(map[string]func([]byte) []byte), faults: make(map[string]Faults)}
}

// EveryHost names all hosts in SetFaults.
const EveryHost = ""

// SetFaults sets what goes wrong for a host, or for every host.
func (s *Store) SetFaults(host string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[host] = f
}

// SetView sets a function that changes the records and values that a host reads, so that it
// reaches targets on paths of its own.
func (s *Store) SetView(host string, view func(data []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.views[host] = view
}

// view returns what changes the data that a host reads.
func (s *Store) view(host string) func([]byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.views[host]; v != nil {
		return v
	}
	return func(data []byte) []byte { return data }
}

// Flush makes the appends take effect that were made late.
func (s *Store) Flush() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, f := range late {
		f()
	}
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Trim drops the records of a partition before an offset. The newest record of
// each key stays.
func (s *Store) Trim(p port.Partition, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	n := min(max(before-part.first, 0), int64(len(part.records)))
	part.records = slices.Clone(part.records[n:])
	part.first += n
}

func (s *Store) partition(p port.Partition) *partition {
	part := s.partitions[p]
	if part == nil {
		part = &partition{newest: make(map[string]port.KeyedRecord), changed: make(chan struct{})}
		s.partitions[p] = part
	}
	return part
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// append adds records. The caller holds the store's lock.
func (p *partition) append(isKeyed bool, records [][]byte) int64 {
	offset := p.end()
	for _, r := range records {
		if isKeyed {
			p.keep(r, p.end())
		}
		p.records = append(p.records, slices.Clone(r))
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return offset
}

func (p *partition) keep(record []byte, offset int64) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return
	}
	n := 1 + int(record[0])
	key := string(record[1:n])
	if n == len(record) {
		delete(p.newest, key)
		return
	}
	p.newest[key] = port.KeyedRecord{Key: key, Value: slices.Clone(record[n:]), Offset: offset}
}

// Put writes the newest record of a key without faults; an empty value removes
// the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(port.Partition{Topic: topic}).append(true, [][]byte{append(record, value...)})
}

// newest returns the newest records of a partition by key, and its end.
func (s *Store) newest(p port.Partition) ([]port.KeyedRecord, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	list := make([]port.KeyedRecord, 0, len(part.newest))
	for _, r := range part.newest {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b port.KeyedRecord) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return list, part.end()
}

// page returns the records from an offset on, and a channel that is closed by
// the next append.
func (s *Store) page(p port.Partition, from int64) (port.RawPage, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.partition(p)
	if from < part.first {
		return port.RawPage{}, nil, &port.SharedLogError{Op: "read", Partition: p, Failure: port.LogTrimmed, Oldest: part.first}
	}
	page := port.RawPage{Oldest: part.first, End: part.end()}
	if from < part.end() {
		page.Records = slices.Clone(part.records[from-part.first:])
	}
	return page, part.changed, nil
}

// Client is the store as one host reaches it. It implements port.SharedLog.
type Client struct {
	store *Store
	host  string
}

var _ port.SharedLog = (*Client)(nil)

// Client returns the store as a host reaches it.
func (s *Store) Client(host string) *Client { return &Client{store: s, host: host} }

// bounded returns a context that ends when the client gives the call up.
func (c *Client) bounded(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if c.store.Timeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, wait+c.store.Timeout)
}

// enter applies the faults that come before a call takes effect.
func (c *Client) enter(ctx context.Context, op string, p port.Partition) error {
	c.store.mu.Lock()
	c.store.calls++
	isThrottled := c.store.isThrottled(time.Now())
	every, own := c.store.faults[EveryHost], c.store.faults[c.host]
	c.store.mu.Unlock()
	if !every.befall(p) {
		every = Faults{}
	}
	if !own.befall(p) {
		own = Faults{}
	}
	switch {
	case isThrottled:
		return &port.SharedLogError{Op: op, Partition: p, Failure: port.LogThrottled}
	case every.Refuse || own.Refuse:
		return &port.SharedLogError{Op: op, Partition: p, Failure: port.LogRefused}
	case every.Silent || own.Silent:
		<-ctx.Done()
		return unanswered(ctx, op, p)
	}
	return c.pause(ctx, op, p, c.store.Latency/2+every.Delay+own.Delay)
}

func (f Faults) befall(p port.Partition) bool {
	return len(f.Only) == 0 || slices.Contains(f.Only, p.Part)
}

func (c *Client) pause(ctx context.Context, op string, p port.Partition, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return unanswered(ctx, op, p)
	}
}

func unanswered(ctx context.Context, op string, p port.Partition) error {
	return &port.SharedLogError{Op: op, Partition: p, Failure: port.LogUnreachable, Cause: ctx.Err()}
}

// Append implements port.SharedLog.
func (c *Client) Append(ctx context.Context, p port.Partition, records [][]byte) (int64, error) {
	ctx, cancel := c.bounded(ctx, 0)
	defer cancel()
	if err := c.enter(ctx, "append", p); err != nil {
		return 0, err
	}
	if c.isLate(p, records) {
		<-ctx.Done()
		return 0, unanswered(ctx, "append", p)
	}
	c.store.mu.Lock()
	offset := c.store.partition(p).append(isKeyed(p), records)
	isLost := c.takeLoss()
	c.store.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return 0, unanswered(ctx, "append", p)
	}
	return offset, c.pause(ctx, "append", p, c.store.Latency/2)
}

func isKeyed(p port.Partition) bool {
	return len(p.Topic) >= len(keyedPrefix) && p.Topic[:len(keyedPrefix)] == keyedPrefix
}

// isLate puts an append off until Flush if a fault says so.
func (c *Client) isLate(p port.Partition, records [][]byte) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	f := c.store.faults[c.host]
	if f.Late == 0 {
		return false
	}
	f.Late--
	c.store.faults[c.host] = f
	kept := slices.Clone(records)
	c.store.late = append(c.store.late, func() {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.partition(p).append(isKeyed(p), kept)
	})
	return true
}

// takeLoss uses up one lost answer. The caller holds the store's lock.
func (c *Client) takeLoss() bool {
	f := c.store.faults[c.host]
	if f.LoseAnswers == 0 {
		return false
	}
	f.LoseAnswers--
	c.store.faults[c.host] = f
	return true
}

// Read implements port.SharedLog.
func (c *Client) Read(ctx context.Context, p port.Partition, r port.Range) (port.RawPage, error) {
	ctx, cancel := c.bounded(ctx, r.Wait)
	defer cancel()
	if err := c.enter(ctx, "read", p); err != nil {
		return port.RawPage{}, err
	}
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	for {
		page, changed, err := c.store.page(p, r.From)
		if err != nil || len(page.Records) > 0 || r.Wait <= 0 {
			page.Records = firstOf(page.Records, r.MaxBytes)
			if err == nil {
				view := c.store.view(c.host)
				for i := range page.Records {
					page.Records[i] = view(page.Records[i])
				}
				c.store.countRead(page.Records)
				err = c.pause(ctx, "read", p, c.store.transfer(page.Records))
			}
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return port.RawPage{}, unanswered(ctx, "read", p)
		}
	}
}

func (s *Store) countRead(records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.ReadBytes += len(r)
	}
}

// firstOf returns the first records, one at least, of up to most bytes in all;
// zero means all.
func firstOf(records [][]byte, most int) [][]byte {
	total := 0
	for i, r := range records {
		total += len(r)
		if most > 0 && total > most && i > 0 {
			return records[:i]
		}
	}
	return records
}

// Trim implements port.SharedLog.
func (c *Client) Trim(ctx context.Context, p port.Partition, before int64) error {
	ctx, cancel := c.bounded(ctx, 0)
	defer cancel()
	if err := c.enter(ctx, "trim", p); err != nil {
		return err
	}
	c.store.Trim(p, before)
	return nil
}

// Newest implements port.SharedLog.
func (c *Client) Newest(ctx context.Context, p port.Partition) ([]port.KeyedRecord, int64, error) {
	ctx, cancel := c.bounded(ctx, 0)
	defer cancel()
	if err := c.enter(ctx, "newest", p); err != nil {
		return nil, 0, err
	}
	records, end := c.store.newest(p)
	view := c.store.view(c.host)
	for i := range records {
		records[i].Value = view(records[i].Value)
	}
	return records, end, nil
}

// Keyed returns a keyed topic as a host reaches it.
func (c *Client) Keyed(topic string) *Keyed {
	return &Keyed{client: c, partition: port.Partition{Topic: topic}}
}

// Keyed is one keyed topic. It implements port.KeyedStream.
type Keyed struct {
	client    *Client
	partition port.Partition
}

var _ port.KeyedStream = (*Keyed)(nil)

// Newest implements port.KeyedStream.
func (k *Keyed) Newest(ctx context.Context) ([]port.KeyedRecord, int64, error) {
	return k.client.Newest(ctx, k.partition)
}

// Read implements port.KeyedStream.
func (k *Keyed) Read(ctx context.Context, from int64, wait time.Duration) ([]port.KeyedRecord, int64, int, error) {
	page, err := k.client.Read(ctx, k.partition, port.Range{From: from, Wait: wait})
	if err != nil {
		return nil, from, 0, err
	}
	records := make([]port.KeyedRecord, 0, len(page.Records))
	for i, r := range page.Records {
		n := 1 + int(r[0])
		records = append(records, port.KeyedRecord{Key: string(r[1:n]), Value: r[n:], Offset: from + int64(i)})
	}
	return records, from + int64(len(page.Records)), 0, nil
}

// Put writes the newest record of a key; an empty value removes it.
func (k *Keyed) Put(ctx context.Context, key string, value []byte) error {
	return k.PutAll(ctx, []port.KeyedRecord{{Key: key, Value: value}})
}

// PutAll writes the newest records of keys, all or none; an empty value removes its key.
func (k *Keyed) PutAll(ctx context.Context, records []port.KeyedRecord) error {
	list := make([][]byte, len(records))
	for i, r := range records {
		list[i] = append(append([]byte{byte(len(r.Key))}, r.Key...), r.Value...)
	}
	_, err := k.client.Append(ctx, k.partition, list)
	return err
}

// encodePage returns a page as it is sent.
func encodePage(page port.RawPage) []byte {
	var b []byte
	b = binary.BigEndian.AppendUint64(b, uint64(page.End))
	b = binary.BigEndian.AppendUint64(b, uint64(page.Oldest))
	for _, r := range page.Records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	return b
}
