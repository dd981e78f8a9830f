package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"yuccausher/internal/port"
)

func TestGossipRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	host := port.Host{ID: "127.0.0.1:7100", DataCentre: "a", Incarnation: 7, ClientAddress: "127.0.0.1:8100"}
	g := port.Gossip{
		From: host, Leaving: true, ConfigVersion: 9, Digest: 1 << 63, Quarantined: []uint64{3, 4},
		Rumours: []port.Member{{Host: host, State: port.MemberSuspect, ConfigVersion: 8, Since: now.Add(-1500 * time.Millisecond), Revision: 2}},
	}
	is.Equal(gossipFromProto(gossipToProto(g, now), now), g)
}
