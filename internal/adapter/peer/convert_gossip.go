package peer

import (
	"time"

	pb "yuccausher/internal/gen/peer"
	"yuccausher/internal/port"
)

func hostToProto(h port.Host) *pb.Host {
	return &pb.Host{
		Id:            h.ID,
		DataCentre:    h.DataCentre,
		Incarnation:   h.Incarnation,
		ClientAddress: h.ClientAddress,
	}
}

func hostFromProto(m *pb.Host) port.Host {
	return port.Host{
		ID:            m.GetId(),
		DataCentre:    m.GetDataCentre(),
		Incarnation:   m.GetIncarnation(),
		ClientAddress: m.GetClientAddress(),
	}
}

// gossipToProto converts a message. Times of the sender's clock become ages.
func gossipToProto(g port.Gossip, now time.Time) *pb.GossipMessage {
	m := &pb.GossipMessage{
		From:          hostToProto(g.From),
		Leaving:       g.Leaving,
		ConfigVersion: g.ConfigVersion,
		Quarantined:   g.Quarantined,
		Digest:        g.Digest,
	}
	for _, r := range g.Rumours {
		m.Rumours = append(m.Rumours, &pb.Member{
			Host:          hostToProto(r.Host),
			State:         string(r.State),
			ConfigVersion: r.ConfigVersion,
			AgeMs:         age(r.Since, now).Milliseconds(),
			Revision:      r.Revision,
		})
	}
	for _, k := range g.Marks {
		m.Marks = append(m.Marks, &pb.CrashMark{Fingerprint: k.Fingerprint, Target: k.Target, AtNs: k.At})
	}
	return m
}

// gossipFromProto converts a message. Ages become times of the receiver's clock.
func gossipFromProto(m *pb.GossipMessage, now time.Time) port.Gossip {
	g := port.Gossip{
		From:          hostFromProto(m.GetFrom()),
		Leaving:       m.GetLeaving(),
		ConfigVersion: m.GetConfigVersion(),
		Quarantined:   m.GetQuarantined(),
		Digest:        m.GetDigest(),
	}
	for _, r := range m.GetRumours() {
		g.Rumours = append(g.Rumours, port.Member{
			Host:          hostFromProto(r.GetHost()),
			State:         port.MemberState(r.GetState()),
			ConfigVersion: r.GetConfigVersion(),
			Since:         now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
			Revision:      r.GetRevision(),
		})
	}
	for _, k := range m.GetMarks() {
		g.Marks = append(g.Marks, port.CrashMark{Fingerprint: k.GetFingerprint(), Target: k.GetTarget(), At: k.GetAtNs()})
	}
	return g
}

func age(since, now time.Time) time.Duration {
	if since.IsZero() {
		return 0
	}
	return max(0, now.Sub(since))
}

// validateGossip returns what is wrong with a message, or "".
func validateGossip(m *pb.GossipMessage) string {
	if m.GetFrom().GetId() == "" {
		return "no sender"
	}
	for _, r := range m.GetRumours() {
		if r.GetHost().GetId() == "" {
			return "update without a host"
		}
		if !isKnownState(r.GetState()) {
			return "update with an unknown state"
		}
	}
	return ""
}

func isKnownState(s string) bool {
	switch port.MemberState(s) {
	case port.MemberAlive, port.MemberSuspect, port.MemberLeaving, port.MemberDead:
		return true
	}
	return false
}
