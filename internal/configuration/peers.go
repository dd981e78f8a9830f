package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"yuccausher/internal/core/config"
	"yuccausher/internal/port"
	"yuccausher/internal/tail"
)

// maxPeersPerRound is the maximum number of peers asked in one round.
const maxPeersPerRound = 3

// pollPeers fetches the newest version from peers while this host has none or stays
// behind them, which happens when it can't read the log.
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

// membersAhead returns the other members that may have a newer version. For a host
// without a version these include the members whose version is unknown.
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

// fetchFromPeers asks some of the members, in random order, until one provides a newer
// version.
func (s *Service) fetchFromPeers(ctx context.Context, members []string) {
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, id := range members[:min(len(members), maxPeersPerRound)] {
		if s.fetchFromPeer(ctx, id) {
			return
		}
	}
}

// fetchFromPeer fetches the version of one peer and stores it if it is newer and
// valid. It reports whether it was.
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
		s.Logger.Info("Invalid document of a peer skipped.", "host", id, "version", version, "reason", err.Error())
		return false
	}
	s.countPeerDocument("taken")
	s.storeIfNewer(version, raw, d, "peer")
	return true
}

func (s *Service) countPeerDocument(outcome string) {
	s.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("peer_documents").Inc(1)
}
