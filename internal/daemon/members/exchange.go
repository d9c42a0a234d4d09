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
		// What a lost push carried comes again with the answer to the receiver's next heartbeat.
		return
	}
	if err == nil && reply.GetSelf().GetHost() != string(d.To()) {
		err = eris.Errorf("%s answers at %s in place of %s", reply.GetSelf().GetHost(), d.Address(), d.To())
	}
	if err != nil {
		m.cfg.Log.WithError(err).WithField("host", d.To()).Debug("heartbeat failed")
		m.post(membership.NewHeartbeatFailed(d.To()))
		return
	}
	if m.cfg.Attachments != nil {
		m.cfg.Attachments.TakeReply(d.To(), reply)
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

// Heartbeat answers the heartbeat of another host.
func (m *Members) Heartbeat(ctx context.Context, in *hostpb.HeartbeatRequest) (*hostpb.HeartbeatReply, error) {
	from := table.HostID(in.GetSelf().GetHost())
	if from == "" {
		return nil, eris.New("members.Heartbeat: the sender has no name")
	}
	if m.cfg.Attachments != nil {
		m.cfg.Attachments.TakeRequest(from, in)
	}
	answer := make(chan membership.Reply, 1)
	m.mu.Lock()
	m.next++
	call := m.next
	m.calls[call] = answer
	m.mu.Unlock()
	m.post(membership.NewHeartbeatReceived(call, host.HeartbeatFromWire(in, time.Now())))
	select {
	case r := <-answer:
		out := host.ReplyToWire(r, time.Now())
		if m.cfg.Attachments != nil {
			m.cfg.Attachments.FillReply(from, out)
		}
		return out, nil
	case <-ctx.Done():
	case <-m.ctx.Done():
	}
	m.mu.Lock()
	delete(m.calls, call)
	m.mu.Unlock()
	return nil, eris.New("members.Heartbeat: the call or this host ended")
}

func (m *Members) answer(d membership.AnswerHeartbeat) {
	m.mu.Lock()
	answer := m.calls[d.Call()]
	delete(m.calls, d.Call())
	m.mu.Unlock()
	if answer != nil {
		answer <- d.Reply()
	}
}

// Probe says that this host answers, or calls the host asked about.
func (m *Members) Probe(ctx context.Context, in *hostpb.ProbeRequest) (*hostpb.ProbeReply, error) {
	if in.GetPeerAddress() == "" {
		// A new process at an old address must not answer for the host asked about.
		self := in.GetHost() == "" || in.GetHost() == string(m.cfg.Self.ID)
		return &hostpb.ProbeReply{Alive: self}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	reply, err := m.cfg.Peers.Probe(ctx, in.GetPeerAddress(), &hostpb.ProbeRequest{Host: in.GetHost()})
	if err != nil {
		// That the host does not answer is the result of the probe, not its failure.
		return &hostpb.ProbeReply{}, nil //nolint:nilerr // see above
	}
	return &hostpb.ProbeReply{Alive: reply.GetAlive()}, nil
}

// SpreadMarks takes marks of another host. A relay passes new ones on to its failure domain and
// answers once the hosts have acknowledged them, or the call has ended.
func (m *Members) SpreadMarks(ctx context.Context, in *hostpb.SpreadMarksRequest) (*hostpb.SpreadMarksReply, error) {
	added := m.newMarks(in.GetMarks())
	for _, p := range added {
		m.post(membership.NewPayloadReceived(p))
	}
	if len(added) > 0 && m.isRelay() {
		m.spread(ctx, m.domainHosts(), in)
	}
	return &hostpb.SpreadMarksReply{}, nil
}

// Spread passes this host's marks on to all hosts through one relay a failure domain and returns
// once they have acknowledged them, or after 500 ms. Heartbeats carry them to hosts that were missed.
func (m *Members) Spread(ctx context.Context, marks []*hostpb.CrashMark) {
	now := time.Now()
	for _, mark := range marks {
		m.post(membership.NewPayloadAdded(host.MarkPayload(mark, now)))
	}
	ctx, cancel := context.WithTimeout(ctx, marksTimeout)
	defer cancel()
	m.spread(ctx, m.firstRelays(), &hostpb.SpreadMarksRequest{Marks: marks})
}

func (m *Members) spread(ctx context.Context, to []membership.Host, in *hostpb.SpreadMarksRequest) {
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

func (m *Members) newMarks(marks []*hostpb.CrashMark) []membership.Payload {
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

// firstRelays returns the first relay of each failure domain, and where that is this host itself,
// the rest of the domain.
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

func (m *Members) markArrived(d membership.PayloadDelivered) {
	mark, ok := d.Payload().Value.(*hostpb.CrashMark)
	if ok && m.cfg.OnMark != nil {
		m.cfg.OnMark(mark)
	}
}
