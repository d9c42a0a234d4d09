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
	// staleAfter is the age of the list of endpoints from which peers are asked for theirs. It comes on top of the
	// time that a pending watch leaves the list unconfirmed.
	staleAfter  = 500 * time.Millisecond
	callTimeout = 700 * time.Millisecond
	// discoverRetryDelay is the delay before reading or writing host records is retried. discoverInterval is the
	// interval between two readings; they serve hosts that could not reach each other when they started.
	discoverRetryDelay = 500 * time.Millisecond
	discoverInterval   = 20 * time.Second
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
	onUsage func(now time.Time, u path.Usage, peers int)

	mu     sync.Mutex
	roster *roster.System
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

// discover reads the hosts' records, writes this host's and reads again. Of two hosts that start at once, at least
// one then sees the other and reports to it. Later readings are rare.
func (h *hosts) discover(ctx context.Context, started int64) {
	if err := h.readRecords(ctx); err != nil {
		h.log.WithError(err).Warn("host records not read")
	}
	h.announce(ctx, started)
	for ctx.Err() == nil {
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
		h.add(r.Peers, r.Weight)
	}
	return nil
}

func (h *hosts) add(address string, weight float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.Add(address, weight)
}

// run reports to the hosts that are due until ctx ends.
func (h *hosts) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	every(ctx, targetCheckInterval, func() {
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
	})
}

// applyUsage passes the usage of the other hosts' streams to onUsage until ctx ends.
func (h *hosts) applyUsage(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		now := time.Now()
		usage, peers := h.roster.Usage(now, "")
		period := h.roster.Period()
		h.mu.Unlock()
		h.onUsage(now, usage, peers)
		sleep(ctx, period)
	}
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
	sent := time.Now()
	state := h.self()
	state.WantOtherHosts = t.WantAll
	answer, err := h.client.SendState(ctx, t.Address, state)
	h.mu.Lock()
	h.roster.Done(t.Address)
	h.mu.Unlock()
	if err != nil {
		// The roster treats an unresponsive host as down. A log line for each attempt would add nothing.
		return
	}
	h.receive(answer, sent)
}

// receive handles the state of a peer.
func (h *hosts) receive(s *exchange.State, at time.Time) {
	h.mu.Lock()
	changed := h.roster.Receive(at, s.Host, s.Usage)
	if s.OthersUsage != nil {
		h.roster.ReceiveFromHub(at, s.OtherHosts, *s.OthersUsage, s.OtherHostCount)
	}
	h.mu.Unlock()
	if changed {
		h.log.WithFields(logrus.Fields{"peer": s.Name, "serving": s.Serving, "leaving": s.Leaving, "started": s.Started}).Info("peer changed")
	}
	if len(s.Marks) > 0 {
		h.onMarks(s.Marks)
	}
	if len(s.Config) > 0 {
		h.view.setConfig(s.Config, "peer")
	}
	if s.Endpoints != nil {
		h.view.peerEndpoints(s.Endpoints, at.Add(-time.Duration(s.StoreAgeMs)*time.Millisecond))
	}
}

// addOtherHosts adds a hub's data on the other hosts to the response, if the peer asks for it.
func (h *hosts) addOtherHosts(answer, from *exchange.State, now time.Time) {
	if !from.WantOtherHosts {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	answer.OtherHosts = h.roster.Seen(now)
	usage, count := h.roster.Usage(now, from.PeerAddress)
	usage.Add(answer.Usage)
	answer.OthersUsage, answer.OtherHostCount = &usage, count+1
}

// available returns the other hosts that are alive and accept calls.
func (h *hosts) available(now time.Time) []roster.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Up(now)
}

// count returns the number of hosts, this one included.
func (h *hosts) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.Count()
}

func (h *hosts) isHub(self roster.Host, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.IsHub(now, self)
}

func (h *hosts) mayLead(self roster.Host, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.roster.MayLead(now, self)
}
