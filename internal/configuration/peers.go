package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// maxPeersAsked bounds how many peers are asked in one round.
const maxPeersPerRound = 3

// followPeers asks peers for the newest version while this host has none or
// stays behind them, as it does when it can't read the log.
func (s *Service) pollPeers(ctx context.Context) {
	var behindSince time.Time
	for ctx.Err() == nil {
		tail.Sleep(ctx, s.Settings.PeerInterval)
		now := time.Now()
		ahead := s.membersAhead()
		if len(ahead) == 0 {
			behindSince = time.Time{}
			continue
		}
		if behindSince.IsZero() {
			behindSince = now
		}
		if s.version() == 0 || now.Sub(behindSince) >= s.Settings.PeerGrace {
			s.fetchFromPeers(ctx, ahead)
		}
	}
}

// membersAhead returns the other members that may have a newer version. A
// host without any asks also those whose version it does not know.
func (s *Service) membersAhead() []string {
	own := s.version()
	self := s.Members.Self().ID
	var ahead []string
	for _, m := range s.Members.Table() {
		if m.ID == self || m.State == port.MemberDead {
			continue
		}
		if m.ConfigVersion > own || own == 0 {
			ahead = append(ahead, m.ID)
		}
	}
	return ahead
}

// askPeers asks some of the members, in random order, until one helps.
func (s *Service) fetchFromPeers(ctx context.Context, members []string) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, id := range members[:min(len(members), maxPeersPerRound)] {
		if s.fetchFromPeer(ctx, id) {
			return
		}
	}
}

// askPeer takes the version of one peer if it is newer and valid.
func (s *Service) fetchFromPeer(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.PeerTimeout)
	defer cancel()
	version, raw, err := s.Peers.Config(ctx, id)
	if err != nil {
		s.countPeerDocument("failed")
		return false
	}
	if version <= s.version() {
		s.countPeerDocument("not_newer")
		return false
	}
	d, err := config.Check(raw, s.currentDocument())
	if err != nil {
		s.countPeerDocument("invalid")
		s.Logger.Info("document of a peer skipped", "host", id, "version", version, "reason", err.Error())
		return false
	}
	s.countPeerDocument("taken")
	s.storeIfNewer(version, raw, d, "peer")
	return true
}

func (s *Service) countPeerDocument(outcome string) {
	s.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("peer_documents").Inc(1)
}
