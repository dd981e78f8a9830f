package standin

import (
	"strings"
	"time"

	"yuccausher/internal/port"
)

// LoseAnswers makes the next n calls of a service run and then break the
// connection, at any target that shares the counts.
func (s *Service) LoseAnswers(service string, n int) { s.options.Runs.LoseAnswers(service, n) }

// Hang makes the next n calls of a service hang for d before they run, or
// without end if d is zero, at any target that shares the counts.
func (s *Service) Hang(service string, n int, d time.Duration) { s.options.Runs.Hang(service, n, d) }

// CrashOn makes the target crash when it runs an input that contains match.
func (s *Service) CrashOn(match string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashOn = match
}

// Leave makes the target finish what it has and refuse new work.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Crash breaks all running calls. What has run stays counted.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.downUntil = time.Now().Add(s.options.RestartAfter)
}

// Crashed returns a channel that is closed at the next crash.
func (s *Service) Crashed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// RestartTime returns how long a crash keeps the target down.
func (s *Service) RestartTime() time.Duration { return s.options.RestartAfter }

// Running returns how many calls are running.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Leaving says whether the target is leaving.
func (s *Service) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Service) crashesOn(call port.ServiceCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && strings.Contains(string(call.Input), s.crashOn)
}
