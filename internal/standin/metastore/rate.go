package metastore

import "time"

// SetPerSecond sets how many calls are accepted in a second from now on; the others are refused as
// throttled. Zero means all.
func (s *Store) SetPerSecond(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perSecond = n
}

// SetBytesPerSecond sets how fast records are read from now on; zero means at once.
func (s *Store) SetBytesPerSecond(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytesPerSecond = n
}

// transfer is how long records take to be read.
func (s *Store) transfer(records [][]byte) time.Duration {
	s.mu.Lock()
	perSecond := s.bytesPerSecond
	s.mu.Unlock()
	if perSecond <= 0 {
		return 0
	}
	total := 0
	for _, r := range records {
		total += len(r)
	}
	return time.Duration(total) * time.Second / time.Duration(perSecond)
}

// isThrottled counts a call and reports whether it exceeds perSecond. The caller holds s.mu.
func (s *Store) isThrottled(now time.Time) bool {
	if second := now.Unix(); second != s.second {
		s.second, s.callsInSecond = second, 0
	}
	s.callsInSecond++
	return s.perSecond > 0 && s.callsInSecond > int64(s.perSecond)
}
