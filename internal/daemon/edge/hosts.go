package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/peer/exchange"
)

const (
	// kindHosts is the kind of the objects by which hosts find each other.
	kindHosts = "waxwingplank-hosts"
	// tellPeriod is the time between two messages to a peer. Loads that are this old make hosts that choose at
	// once lean the same way; shorter periods cost processor time.
	tellPeriod = 500 * time.Millisecond
	// tellTimeout bounds a message; a host that does not answer in it twice is left out of the directory.
	tellTimeout = 400 * time.Millisecond
	// hostTimeout is how long a host that does not answer stays in the directory.
	hostTimeout = 1300 * time.Millisecond
	// staleAfter is the age of the endpoints' list from which peers are asked for theirs. It is above the time
	// that a waiting watch leaves the list unconfirmed.
	staleAfter = 2800 * time.Millisecond
	// unansweredPause spaces the messages to hosts that have not answered for long, such as removed ones.
	unansweredPause = 2 * time.Second
	callTimeout     = 700 * time.Millisecond
	// discoverPeriod is for hosts that could not tell each other when they started.
	discoverPeriod = 20 * time.Second
	// leaders is how many hosts try for a lease: one holds it, one stands by.
	leaders = 2
	// reachesStore is the age of a host's list of endpoints above which it does not reach the store.
	reachesStore = 4 * time.Second
)

// hostRecord is a host's object in the store.
type hostRecord struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Domain  string `json:"domain"`
	Started int64  `json:"started"`
}

// peer is another host.
type peer struct {
	address string
	state   *exchange.State
	// heard is when the peer's last answer or message came.
	heard time.Time
	asked time.Time
	busy  bool
}

// hosts knows the other hosts of the deployment.
type hosts struct {
	cfg     Settings
	log     logrus.FieldLogger
	view    *view
	client  *exchange.Client
	store   Store
	self    func() *exchange.State
	onMarks func(json.RawMessage)
	onLoad  func(loads map[string]path.Load, peers int)

	mu    sync.Mutex
	peers map[string]*peer
}

// announce writes the host's record until the store has it.
func (h *hosts) announce(ctx context.Context, started int64) {
	record := hostRecord{Callers: h.cfg.file.Callers, Peers: h.cfg.file.Peers, Domain: h.cfg.file.FailureDomain, Started: started}
	value, err := json.Marshal(record)
	if err != nil {
		h.log.WithError(err).Error("host record not written")
		return
	}
	for ctx.Err() == nil {
		err := h.write(ctx, value)
		if err == nil {
			h.log.Info("host record written")
			return
		}
		h.log.WithError(err).Warn("host record not written")
		select {
		case <-ctx.Done():
		case <-time.After(tellPeriod):
		}
	}
}

func (h *hosts) write(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	name := h.cfg.file.Host
	_, err := h.store.Put(ctx, kindHosts, name, 0, value)
	if !errors.Is(err, storage.ErrConflict) {
		return err
	}
	_, version, err := h.store.Get(ctx, kindHosts, name)
	if err != nil {
		return err
	}
	_, err = h.store.Put(ctx, kindHosts, name, version, value)
	return eris.Wrap(err, "edge.hosts write")
}

// discover reads the hosts' records, once soon and then rarely: a host that starts tells all others itself.
func (h *hosts) discover(ctx context.Context) {
	for ctx.Err() == nil {
		wait := discoverPeriod
		if err := h.readRecords(ctx); err != nil {
			h.log.WithError(err).Warn("host records not read")
			wait = tellPeriod
		}
		sleep(ctx, wait)
	}
}

func (h *hosts) readRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	objects, _, err := h.store.List(ctx, kindHosts)
	if err != nil {
		return err
	}
	for _, o := range objects {
		var r hostRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			h.log.WithError(err).WithField("host", o.Name).Warn("host record not read")
			continue
		}
		h.add(r.Peers)
	}
	return nil
}

// mayLead reports whether this host is among the few that try for a duty: the first by name of those that take
// calls and reach the store. Hosts that can't see each other may all try; the store lets one win.
func (h *hosts) mayLead(self *exchange.State, now time.Time) bool {
	before := 0
	for _, s := range h.up(now) {
		if s.Host < self.Host && s.AgeMs < reachesStore.Milliseconds() {
			before++
		}
	}
	return before < leaders && !self.Leaving
}

func (h *hosts) add(address string) {
	if address == "" || address == h.cfg.file.Peers {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.peers[address] == nil {
		h.peers[address] = &peer{address: address}
	}
}

// run tells all peers until ctx ends.
func (h *hosts) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		for _, p := range h.due(time.Now()) {
			calls.Add(1)
			go func() {
				defer calls.Done()
				h.tell(ctx, p)
			}()
		}
		h.sumLoads(time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(tellPeriod):
		}
	}
}

// tellAll tells all peers once, as a host that is leaving does.
func (h *hosts) tellAll(ctx context.Context) {
	var calls sync.WaitGroup
	h.mu.Lock()
	all := make([]*peer, 0, len(h.peers))
	for _, p := range h.peers {
		all = append(all, p)
	}
	h.mu.Unlock()
	for _, p := range all {
		calls.Add(1)
		go func() {
			defer calls.Done()
			h.tell(ctx, p)
		}()
	}
	calls.Wait()
}

func (h *hosts) due(now time.Time) []*peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*peer
	for _, p := range h.peers {
		// One side of each pair tells, and hears in the answer; the other only if it has not heard for long.
		if h.cfg.file.Peers > p.address && now.Sub(p.heard) < 2*tellPeriod {
			continue
		}
		if p.busy || (now.Sub(p.heard) > unansweredPause && now.Sub(p.asked) < unansweredPause) {
			continue
		}
		p.busy, p.asked = true, now
		out = append(out, p)
	}
	return out
}

func (h *hosts) tell(ctx context.Context, p *peer) {
	sent := time.Now()
	state, err := h.client.Tell(ctx, p.address, h.self())
	h.mu.Lock()
	p.busy = false
	h.mu.Unlock()
	if err != nil {
		return
	}
	h.heard(state, sent)
}

// heard takes what a peer told.
func (h *hosts) heard(s *exchange.State, at time.Time) {
	if s.Peers == "" || s.Peers == h.cfg.file.Peers {
		return
	}
	h.mu.Lock()
	p := h.peers[s.Peers]
	if p == nil {
		p = &peer{address: s.Peers}
		h.peers[s.Peers] = p
	}
	before := p.state
	wasUp := before != nil && time.Since(p.heard) < hostTimeout
	p.state, p.heard = s, at
	h.mu.Unlock()
	if !wasUp || before.Started != s.Started || before.Leaving != s.Leaving {
		h.log.WithFields(logrus.Fields{"peer": s.Host, "serving": s.Serving, "leaving": s.Leaving, "started": s.Started}).Info("peer changed")
	}
	if len(s.Marks) > 0 {
		h.onMarks(s.Marks)
	}
	if len(s.Config) > 0 {
		h.view.setConfig(s.Config, "peer")
	}
	if s.Endpoints != nil {
		h.view.peerEndpoints(s.Endpoints, at.Add(-time.Duration(s.AgeMs)*time.Millisecond))
	}
}

// up returns the peers that answer and take calls.
func (h *hosts) up(now time.Time) []*exchange.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*exchange.State
	for _, p := range h.peers {
		if p.state != nil && now.Sub(p.heard) < hostTimeout && p.state.Serving && !p.state.Leaving {
			out = append(out, p.state)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// known returns how many hosts there are, this one included.
func (h *hosts) known() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 1
	for _, p := range h.peers {
		if p.state != nil {
			n++
		}
	}
	return n
}

func (h *hosts) sumLoads(now time.Time) {
	sum := map[string]path.Load{}
	peers := 0
	h.mu.Lock()
	for _, p := range h.peers {
		if p.state == nil || now.Sub(p.heard) > hostTimeout {
			continue
		}
		peers++
		for id, l := range p.state.Loads {
			t := sum[id]
			sum[id] = path.Load{Context: t.Context + l.Context, Streams: t.Streams + l.Streams}
		}
	}
	h.mu.Unlock()
	h.onLoad(sum, peers)
}
