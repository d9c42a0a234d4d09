package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/path"
	"waxwingplank/internal/core/roster"
	"waxwingplank/internal/core/storage"
	"waxwingplank/internal/peer/exchange"
)

const (
	// kindHosts is the kind of the objects by which hosts find each other.
	kindHosts = "waxwingplank-hosts"
	// targetCheckInterval is the interval between two checks for hosts to report to.
	targetCheckInterval = 100 * time.Millisecond
	// reportTimeout bounds a message between hosts.
	reportTimeout = 400 * time.Millisecond
	callTimeout   = 700 * time.Millisecond
	// discoverRetryDelay is the delay before reading or writing host records is retried. discoverInterval is the
	// interval between two readings; they serve hosts that could not reach each other when they started.
	discoverRetryDelay = 500 * time.Millisecond
	discoverInterval   = 20 * time.Second
	// settleTime is the time after which a host that has reached others knows whether it is a hub, and aloneTime
	// the time after which a host that has reached none reads the records.
	settleTime = 3 * time.Second
	aloneTime  = time.Second
	// usageInterval is the interval at which this host looks for newer usage of the others.
	usageInterval = 100 * time.Millisecond
	// hubCheckInterval is the interval at which a host checks whether it has become a hub.
	hubCheckInterval = 500 * time.Millisecond
)

// hostRecord is a host's object in the store.
type hostRecord struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Domain  string `json:"domain"`
	Started int64  `json:"started"`
	// Weight ranks hosts by their capacity.
	Weight float64 `json:"weight"`
}

// hosts tracks the other hosts of the deployment and exchanges state with them.
type hosts struct {
	cfg     Settings
	log     logrus.FieldLogger
	view    *view
	client  *exchange.Client
	store   Store
	self    func() *exchange.State
	onMarks func(json.RawMessage)
	// onPeerChanged is called when a peer has started or is reached again.
	onPeerChanged func()
	onUsage       func(now time.Time, u path.Usage, peers int)

	mu     sync.Mutex
	roster *roster.System
	hub    string
}

// announce writes the host's record and retries until that succeeds.
func (h *hosts) announce(ctx context.Context, started int64) {
	record := hostRecord{Callers: h.cfg.file.Callers, Peers: h.cfg.file.Peers, Domain: h.cfg.file.FailureDomain, Started: started, Weight: h.cfg.weight()}
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
		case <-time.After(discoverRetryDelay):
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

// discover writes this host's record and reads those of the others while this host is a hub or knows no others. All
// other hosts learn of each other from the hubs. Records are written before they are read, so that of two hosts that
// start at once at least one sees the other.
func (h *hosts) discover(ctx context.Context, started int64) {
	start := time.Now()
	announced := false
	for ctx.Err() == nil {
		now := time.Now()
		h.mu.Lock()
		alone := h.roster.Alone(now)
		hub := h.roster.Role(now) != roster.Follower
		h.mu.Unlock()
		elapsed := now.Sub(start)
		if !hub || elapsed < aloneTime || (!alone && elapsed < settleTime) {
			sleep(ctx, hubCheckInterval)
			continue
		}
		if !announced {
			h.announce(ctx, started)
			announced = true
		}
		wait := discoverInterval
		if err := h.readRecords(ctx); err != nil {
			h.log.WithError(err).Warn("host records not read")
			wait = discoverRetryDelay
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
		h.add(r.Peers, r.Domain, r.Weight)
	}
	return nil
}

func (h *hosts) add(address, domain string, weight float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.Add(address, domain, weight)
}

// run reports to the hosts that are due until ctx ends.
func (h *hosts) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	reportToDue := func() {
		now := time.Now()
		h.mu.Lock()
		targets := h.roster.Targets(now)
		h.mu.Unlock()
		for _, t := range targets {
			calls.Add(1)
			go func() {
				defer calls.Done()
				h.report(ctx, t)
			}()
		}
	}
	reportToDue()
	every(ctx, targetCheckInterval, reportToDue)
}

// applyUsage passes the usage of the other hosts' streams to onUsage until ctx ends. A follower's arrives with the
// response of its hub, that of other hosts in many reports.
func (h *hosts) applyUsage(ctx context.Context) {
	every(ctx, usageInterval, func() {
		now := time.Now()
		h.mu.Lock()
		others, changed := h.roster.TakeUsage(now)
		h.mu.Unlock()
		if changed {
			h.onUsage(now, others.Usage, others.Hosts)
		}
	})
}

// reportToAll reports to all hosts that this host reports to. A host that is leaving does this.
func (h *hosts) reportToAll(ctx context.Context) {
	var calls sync.WaitGroup
	h.mu.Lock()
	all := h.roster.Recipients(time.Now())
	h.mu.Unlock()
	for _, address := range all {
		calls.Add(1)
		go func() {
			defer calls.Done()
			h.report(ctx, roster.Target{Address: address})
		}()
	}
	calls.Wait()
}

func (h *hosts) report(ctx context.Context, t roster.Target) {
	answer, err := h.exchange(ctx, t, nil)
	if err == nil {
		if newer := h.view.newerFor(answer); newer != nil {
			if _, err := h.exchange(ctx, t, newer); err != nil {
				h.log.WithError(err).WithField("peer", t.Address).Warn("newer lists not sent to a peer")
			}
		}
	}
	// The roster treats an unresponsive host as down. A log line for each attempt would add nothing.
	h.mu.Lock()
	h.roster.Done(time.Now(), t.Address, err == nil)
	h.mu.Unlock()
}

// exchange sends this host's state to a target, with newer lists for it unless newer is nil, and handles the response.
func (h *hosts) exchange(ctx context.Context, t roster.Target, newer *exchange.Newer) (*exchange.State, error) {
	sent := time.Now()
	state := h.self()
	if newer != nil {
		state.Newer = *newer
	}
	h.mu.Lock()
	state.Report = h.roster.NewReport(sent, t, state.Usage)
	h.mu.Unlock()
	answer, err := h.client.SendState(ctx, t.Address, state)
	if err != nil {
		return nil, err
	}
	h.receive(answer, sent)
	h.view.receive(answer, sent)
	return answer, nil
}

// receive handles the state of a peer, sent at the given time or later.
func (h *hosts) receive(s *exchange.State, sent time.Time) {
	h.mu.Lock()
	changed := h.roster.Handle(sent, &s.Report)
	hub, hubChanged := h.hubChange(sent)
	h.mu.Unlock()
	if changed {
		h.log.WithFields(logrus.Fields{"peer": s.Name, "serving": s.Serving, "leaving": s.Leaving, "started": s.Started}).Info("peer changed")
		h.onPeerChanged()
	}
	if hubChanged {
		h.log.WithField("hub", hub).Info("hub changed")
	}
	if len(s.Marks) > 0 {
		h.onMarks(s.Marks)
	}
}

// hubChange returns the address of the host that this one follows, and whether it has changed.
func (h *hosts) hubChange(now time.Time) (string, bool) {
	hub := h.roster.Hub(now)
	changed := hub != h.hub
	h.hub = hub
	return hub, changed
}

// respond fills in what the response to a peer's report says of this host and the others.
func (h *hosts) respond(answer, from *exchange.State, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	answer.Report = h.roster.Respond(now, &from.Report, answer.Usage)
}

// directory returns the hosts for callers in a domain.
func (h *hosts) directory(domain string, now time.Time) []roster.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Directory(now, domain)
}

// count returns the number of hosts, this one included.
func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Count(time.Now())
}

// recent returns the names of the hosts that may send requests to endpoints, this one included.
func (h *hosts) recent() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Recent(time.Now())
}

// role returns this host's part in the exchange of state.
func (h *hosts) role(now time.Time) roster.Role {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Role(now)
}

func (h *hosts) setSelf(self roster.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.SetSelf(self)
}

func (h *hosts) mayLead(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.MayLead(now)
}
