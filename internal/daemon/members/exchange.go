package members

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/peer/hostpb"
)

type fields = logrus.Fields

func (m *Members) sendHeartbeat(d membership.SendHeartbeat) {
	req := host.HeartbeatToWire(d.Heartbeat(), time.Now())
	if m.cfg.Attachments != nil && !d.Push() {
		m.cfg.Attachments.FillRequest(d.To(), req)
	}
	reply, err := m.cfg.Peers.Heartbeat(m.ctx, d.Address(), req)
	if d.Push() {
		// If the push was lost, the reply to the receiver's next heartbeat contains the same data.
		return
	}
	if err == nil && reply.GetSelf().GetHost() != string(d.To()) {
		err = eris.Errorf("heartbeat answered by host %s at %s instead of %s", reply.GetSelf().GetHost(), d.Address(), d.To())
	}
	if err != nil {
		m.cfg.Log.WithError(err).WithField("host", d.To()).Debug("heartbeat failed")
		m.post(membership.NewHeartbeatFailed(d.To()))
		return
	}
	if m.cfg.Attachments != nil {
		m.cfg.Attachments.ReceiveReply(d.To(), reply)
	}
	m.post(membership.NewReplyReceived(d.To(), host.ReplyFromWire(reply, time.Now())))
}

func (m *Members) sendProbe(d membership.SendProbe) {
	if d.Prober() == "" {
		reply, err := m.cfg.Peers.Probe(m.ctx, d.TargetAddress(), &hostpb.ProbeRequest{Host: string(d.Target())})
		m.post(membership.NewProbeAnswered(d.Target(), "", err == nil, err == nil && reply.GetAlive()))
		return
	}
	req := &hostpb.ProbeRequest{Host: string(d.Target()), PeerAddress: d.TargetAddress()}
	reply, err := m.cfg.Peers.Probe(m.ctx, d.ProberAddress(), req)
	m.post(membership.NewProbeAnswered(d.Target(), d.Prober(), err == nil, err == nil && reply.GetAlive()))
}

// Heartbeat handles the heartbeat of another host.
func (m *Members) Heartbeat(ctx context.Context, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	from := table.HostID(in.GetSelf().GetHost())
	if from == "" {
		return nil, eris.New("members.Heartbeat: the sender has no name")
	}
	if m.cfg.Attachments != nil {
		m.cfg.Attachments.ReceiveRequest(from, in)
	}
	replies := make(chan membership.Reply, 1)
	m.mu.Lock()
	m.lastCall++
	call := m.lastCall
	m.waitingCalls[call] = replies
	m.mu.Unlock()
	m.post(membership.NewHeartbeatReceived(call, host.HeartbeatFromWire(in, time.Now())))
	select {
	case r := <-replies:
		out := host.ReplyToWire(r, time.Now())
		if m.cfg.Attachments != nil {
			m.cfg.Attachments.FillReply(from, out)
		}
		return out, nil
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	delete(m.waitingCalls, call)
	m.mu.Unlock()
	return nil, eris.New("members.Heartbeat: the call or this host ended")
}

// sendReply hands a reply to the Heartbeat call that waits for it.
func (m *Members) sendReply(d membership.AnswerHeartbeat) {
	m.mu.Lock()
	replies := m.waitingCalls[d.Call()]
	delete(m.waitingCalls, d.Call())
	m.mu.Unlock()
	if replies != nil {
		replies <- d.Reply()
	}
}

// Probe reports that this host is alive, or probes the requested host on behalf of the caller.
func (m *Members) Probe(ctx context.Context, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	if in.GetPeerAddress() == "" {
		// A new process at the address of another host must not answer in its name.
		self := in.GetHost() == "" || in.GetHost() == string(m.cfg.Self.ID)
		return &hostpb.ProbeReply{Alive: self}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	reply, err := m.cfg.Peers.Probe(ctx, in.GetPeerAddress(), &hostpb.ProbeRequest{Host: in.GetHost()})
	if err != nil {
		// An unresponsive host is a result of the probe, not an error.
		return &hostpb.ProbeReply{}, nil //nolint:nilerr // see above
	}
	return &hostpb.ProbeReply{Alive: reply.GetAlive()}, nil
}

// SpreadMarks receives crash marks from another host. A relay forwards new ones to its failure domain and
// replies once the hosts have acknowledged them or the call has ended.
func (m *Members) SpreadMarks(ctx context.Context, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	added := m.unseenMarks(in.GetMarks())
	for _, p := range added {
		m.post(membership.NewPayloadReceived(p))
	}
	if len(added) > 0 && m.isRelay() {
		m.sendMarks(ctx, m.domainHosts(), in)
	}
	return &hostpb.SpreadMarksReply{}, nil
}

// BroadcastMarks sends this host's crash marks to all hosts, through one relay in each failure domain. It
// returns once they have acknowledged them, or after 500 ms. Hosts that were not reached receive the marks
// with heartbeats.
func (m *Members) BroadcastMarks(ctx context.Context, marks []*hostpb.CrashMark) {
	now := time.Now()
	for _, mark := range marks {
		m.post(membership.NewPayloadAdded(host.MarkPayload(mark, now)))
	}
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	m.sendMarks(ctx, m.firstRelays(), &hostpb.SpreadMarksRequest{Marks: marks})
}

func (m *Members) sendMarks(ctx context.Context, to []membership.Host, in *hostpb.SpreadMarksRequest) {
	var wg sync.WaitGroup
	for _, h := range to {
		wg.Go(func() {
			if _, err := m.cfg.Peers.SpreadMarks(ctx, h.PeerAddress, in); err != nil {
				m.cfg.Log.WithError(err).WithField("host", h.ID).Warn("crash marks were not acknowledged")
			}
		})
	}
	wg.Wait()
}

func (m *Members) unseenMarks(marks []*hostpb.CrashMark) []membership.Payload {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []membership.Payload
	for _, mark := range marks {
		if p := host.MarkPayload(mark, now); !m.system.Has(p) {
			out = append(out, p)
		}
	}
	return out
}

func (m *Members) isRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.IsRelay()
}

// domainHosts returns the other live hosts of this failure domain.
func (m *Members) domainHosts() []membership.Host {
	return m.hosts(func(h membership.Host) bool { return h.FailureDomain == m.cfg.Self.FailureDomain })
}

// firstRelays returns the first relay of each failure domain. Where that is this host itself, it returns
// the other hosts of the domain.
func (m *Members) firstRelays() []membership.Host {
	return m.hosts(func(h membership.Host) bool {
		first := m.system.FirstRelay(h.FailureDomain)
		return first == h.ID || (first == m.cfg.Self.ID && h.FailureDomain == m.cfg.Self.FailureDomain)
	})
}

func (m *Members) hosts(keep func(membership.Host) bool) []membership.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []membership.Host
	for _, id := range m.system.Live() {
		h, _ := m.system.Host(id)
		if id != m.cfg.Self.ID && keep(h) {
			out = append(out, h)
		}
	}
	return out
}

func (m *Members) deliverMark(d membership.PayloadDelivered) {
	mark, ok := d.Payload().Value.(*hostpb.CrashMark)
	if ok && m.cfg.OnMark != nil {
		m.cfg.OnMark(mark)
	}
}
