package standin

import (
	"strings"
	"time"

	"yuccausher/internal/port"
)

// LoseAnswers makes the next n calls run and then break the connection.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswers = n
}

// Hang makes the next n calls hang without running.
func (s *Service) Hang(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs = n
}

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

func (s *Service) takeHang() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return take(&s.hangs)
}

func (s *Service) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return take(&s.lostAnswers)
}

// take counts n down and says whether it was above zero.
func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *Service) crashesOn(call port.ServiceCall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashOn != "" && strings.Contains(string(call.Input), s.crashOn)
}
