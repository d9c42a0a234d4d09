package host

import (
	"time"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/peer/hostpb"
)

// MarkKind is the kind of the membership payloads that carry crash marks.
const MarkKind = "mark"

// markLifetime is how long a mark stays valid. The age that the sender states is subtracted from it.
const markLifetime = 10 * time.Minute

// MarkPayload returns a crash mark as a membership payload. A cleared mark has a higher version and
// replaces the mark.
func MarkPayload(m *hostpb.CrashMark, now time.Time) membership.Payload {
	version := uint64(1)
	if m.GetCleared() {
		version = 2
	}
	return membership.Payload{
		Kind:    MarkKind,
		Key:     string(m.GetFingerprint()) + "\x00" + m.GetCrash(),
		Version: version,
		Value:   m,
		Expires: now.Add(markLifetime - time.Duration(m.GetAgeMs())*time.Millisecond),
	}
}

// recordToWire encodes a record, in which membership omits the fields that the receiver already has. The
// state is empty for a live host. The load is sent plus one, so that 0 means that it is absent.
func recordToWire(r membership.Record) *hostpb.HostState {
	state := ""
	if r.State != membership.Live {
		state = string(r.State)
	}
	return &hostpb.HostState{
		Host:            string(r.ID),
		Address:         r.Address,
		PeerAddress:     r.PeerAddress,
		FailureDomain:   r.FailureDomain,
		Region:          r.Region,
		OperatorAddress: r.Operator,
		Incarnation:     r.Incarnation,
		Sequence:        r.Sequence,
		State:           state,
		LoadPermille:    uint32(r.LoadPermille + 1),
		Generations:     r.Generations,
	}
}

func recordFromWire(w *hostpb.HostState) membership.Record {
	state := membership.Live
	switch s := membership.State(w.GetState()); s {
	case membership.Leaving, membership.Dead, membership.Removed:
		state = s
	}
	return membership.Record{
		Host: membership.Host{
			ID:            table.HostID(w.GetHost()),
			Address:       w.GetAddress(),
			PeerAddress:   w.GetPeerAddress(),
			FailureDomain: w.GetFailureDomain(),
			Region:        w.GetRegion(),
			Operator:      w.GetOperatorAddress(),
		},
		Incarnation:  w.GetIncarnation(),
		Sequence:     w.GetSequence(),
		State:        state,
		LoadPermille: int(w.GetLoadPermille()) - 1,
		Generations:  w.GetGenerations(),
	}
}

func recordsToWire(list []membership.Record) []*hostpb.HostState {
	out := make([]*hostpb.HostState, len(list))
	for i, r := range list {
		out[i] = recordToWire(r)
	}
	return out
}

func recordsFromWire(list []*hostpb.HostState) []membership.Record {
	out := make([]membership.Record, len(list))
	for i, w := range list {
		out[i] = recordFromWire(w)
	}
	return out
}

func marksToWire(list []membership.Payload, now time.Time) []*hostpb.CrashMark {
	var out []*hostpb.CrashMark
	for _, p := range list {
		m, ok := p.Value.(*hostpb.CrashMark)
		if !ok || p.Kind != MarkKind {
			continue
		}
		age := markLifetime - p.Expires.Sub(now)
		out = append(out, &hostpb.CrashMark{
			Fingerprint: m.GetFingerprint(), Crash: m.GetCrash(), Cleared: m.GetCleared(), AgeMs: age.Milliseconds(),
		})
	}
	return out
}

func marksFromWire(list []*hostpb.CrashMark, now time.Time) []membership.Payload {
	var out []membership.Payload
	for _, m := range list {
		out = append(out, MarkPayload(m, now))
	}
	return out
}

// HeartbeatToWire encodes a heartbeat as a message.
func HeartbeatToWire(h membership.Heartbeat, now time.Time) *hostpb.HeartbeatRequest {
	return &hostpb.HeartbeatRequest{
		Self:             recordToWire(h.Self),
		After:            h.After,
		RelayIncarnation: h.RelayIncarnation,
		Relay:            h.Relay,
		Hosts:            recordsToWire(h.Hosts),
		Marks:            marksToWire(h.Payloads, now),
	}
}

// HeartbeatFromWire decodes the heartbeat from a message.
func HeartbeatFromWire(w *hostpb.HeartbeatRequest, now time.Time) membership.Heartbeat {
	return membership.Heartbeat{
		Self:             recordFromWire(w.GetSelf()),
		After:            w.GetAfter(),
		RelayIncarnation: w.GetRelayIncarnation(),
		Relay:            w.GetRelay(),
		Hosts:            recordsFromWire(w.GetHosts()),
		Payloads:         marksFromWire(w.GetMarks(), now),
	}
}

// ReplyToWire encodes the reply to a heartbeat as a message.
func ReplyToWire(r membership.Reply, now time.Time) *hostpb.HeartbeatReply {
	return &hostpb.HeartbeatReply{
		Self:               recordToWire(r.Self),
		Upto:               r.LastChange,
		RelayIncarnation:   r.RelayIncarnation,
		Hosts:              recordsToWire(r.Hosts),
		Generations:        r.InForce,
		UnreachableDomains: r.Unreachable,
		Marks:              marksToWire(r.Payloads, now),
	}
}

// ReplyFromWire decodes the reply to a heartbeat from a message.
func ReplyFromWire(w *hostpb.HeartbeatReply, now time.Time) membership.Reply {
	return membership.Reply{
		Self:             recordFromWire(w.GetSelf()),
		LastChange:       w.GetUpto(),
		RelayIncarnation: w.GetRelayIncarnation(),
		Hosts:            recordsFromWire(w.GetHosts()),
		InForce:          w.GetGenerations(),
		Unreachable:      w.GetUnreachableDomains(),
		Payloads:         marksFromWire(w.GetMarks(), now),
	}
}
