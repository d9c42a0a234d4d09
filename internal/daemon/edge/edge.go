package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/lease"
	"waxwingplank/internal/core/roster"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/follow"
	"waxwingplank/internal/daemon/forward"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/daemon/leases"
	"waxwingplank/internal/daemon/placing"
	"waxwingplank/internal/peer/exchange"
)

const (
	// watchWait and watchMargin bound how long a silent connection to the store holds up a change: with the rest
	// below, 2.8 s, within the stability window after which a host must have caught up.
	watchWait   = 2300 * time.Millisecond
	watchMargin = 400 * time.Millisecond
	// maxWatchWait is within what the store allows.
	maxWatchWait = 15 * time.Second
	// smallDeployment is the number of hosts up to which the times above hold as they are.
	smallDeployment = 12
	// endpointRest collects the changes of many endpoints into one call.
	endpointRest = 200 * time.Millisecond
	configRest   = 20 * time.Millisecond
	storeRetry   = 250 * time.Millisecond
	// lapseReturn is how long after an outage of the store lapsed entries may come back.
	lapseReturn = 1800 * time.Millisecond
	lapseOutage = 2 * time.Second
	// stallPeriod is the time between two looks for silent streams, a fraction of the silence that counts.
	stallPeriod = 10 * time.Millisecond
	// pacePeriod is the time between two looks for slow endpoints, some times the gap between two events.
	pacePeriod  = 250 * time.Millisecond
	placePeriod = 150 * time.Millisecond
	standPeriod = 500 * time.Millisecond
	// The lease for placing lasts a few renewals, so that another host takes over a few seconds after its holder
	// has failed.
	leaseDuration = 4 * time.Second
	leaseRenewal  = 1200 * time.Millisecond
	leaseStop     = 800 * time.Millisecond
	leasePlacing  = "placing"
	// idleTimeout is longer than any client is told to keep a connection; the configuration's limit is shorter.
	idleTimeout = time.Minute
	// headerTimeout is used until the configuration says otherwise.
	headerTimeout = 10 * time.Second
	// directoryTTL is how long callers keep an answer; short, since they use it for up to three times as long.
	directoryTTL = time.Second
	// memoryShare of the host's memory is the heap's soft limit.
	memoryShare = 0.7
	// gcPercent trades memory, which is billed at its peak, for processor time.
	gcPercent = 60
)

// Store reads and writes objects of the platform's store.
type Store interface {
	follow.Source
	leases.Store
}

// Platform decodes what the platform's operator and endpoints write.
type Platform interface {
	// ConfigKind and ConfigName name the object with the configuration, EndpointsKind the endpoints' entries.
	ConfigKind() string
	ConfigName() string
	EndpointsKind() string
	DecodeConfig(value []byte) (deployment.Config, error)
	DecodeEndpoint(name string, value []byte) (deployment.Endpoint, error)
	// Callers, Directory and Readiness serve the platform's calls.
	Callers(f *forward.Forwarder, closing func() bool) http.Handler
	Directory(addresses func(domain string) ([]string, time.Duration), log logrus.FieldLogger) http.Handler
	Readiness(ready func() bool) http.Handler
}

// Workers sends requests and orders to endpoints.
type Workers interface {
	forward.Endpoints
	placing.Endpoints
}

// Config describes a Daemon.
type Config struct {
	Settings Settings
	Platform Platform
	Store    Store
	Workers  Workers
	Log      io.Writer
}

// Daemon is an entry host.
type Daemon struct {
	cfg   Config
	log   *logrus.Entry
	lines *journal.Async
	began time.Time
	// started identifies the incarnation to other hosts.
	started   int64
	forwarder *forward.Forwarder
	metrics   *forward.Metrics
	view      *view
	hosts     *hosts
	placer    *placing.Placer
	keeper    *leases.Keeper
	leaving   atomic.Bool

	settingsMu sync.Mutex
	settings   Settings
}

// decisions writes the forwarder's decisions to the journal.
type decisions struct{ journal *journal.Journal }

// Decision implements forward.Logger.
func (d decisions) Decision(request, decision string, fields map[string]any) {
	d.journal.Decision(table.RequestID(request), decision, fields)
}

// New returns a daemon; it serves while Run runs.
func New(cfg Config) (*Daemon, error) {
	lines := journal.NewAsync(cfg.Log)
	j, err := journal.New(journal.Config{Writer: lines, Level: cfg.Settings.file.LogLevel, Host: table.HostID(cfg.Settings.file.Host)})
	if err != nil {
		return nil, eris.Wrap(err, "edge.New")
	}
	began := time.Now()
	d := &Daemon{lines: lines, cfg: cfg, log: j.Log(), began: began, started: began.UnixNano(), metrics: forward.NewMetrics(), settings: cfg.Settings}
	d.forwarder = forward.New(forward.Config{
		Endpoints: cfg.Workers, Log: decisions{j}, Metrics: d.metrics, Domain: cfg.Settings.file.FailureDomain,
		Budget: cfg.Settings.budget(began), Seed: rand.Int63(),
	})
	d.view = &view{
		platform: cfg.Platform, log: d.log, unread: map[string]int64{},
		onTable: d.forwarder.SetTable, onEndpoints: d.forwarder.SetEndpoints,
	}
	d.hosts = &hosts{
		cfg: cfg.Settings, log: d.log, view: d.view, client: exchange.NewClient(tellTimeout), store: cfg.Store,
		self: func() *exchange.State { return d.state(time.Now()) }, onUsage: d.forwarder.SetPeerUsage, onMarks: d.takeMarks,
		roster: roster.New(roster.Config{Self: cfg.Settings.file.Peers, Weight: cfg.Settings.weight()}),
	}
	for _, seed := range cfg.Settings.file.Seeds {
		d.hosts.add(seed, 0)
	}
	d.keeper = leases.New(leases.Config{
		Store: cfg.Store, Log: d.log, CallTimeout: callTimeout,
		System: lease.Config{
			Self: table.HostID(cfg.Settings.file.Host), Incarnation: uint64(d.started), Duration: leaseDuration,
			Renewal: leaseRenewal, StopMargin: leaseStop, MaxOrderTime: time.Second, Retry: storeRetry,
		},
	})
	d.placer = placing.New(placing.Config{
		Endpoints: cfg.Workers, Log: d.log,
		Held: func() (int64, bool) { return d.keeper.Held(leasePlacing) },
		Lost: func() { d.keeper.Release(leasePlacing); d.keeper.Hold(leasePlacing) },
	})
	return d, nil
}

// Run serves until ctx ends, then lets open requests finish within the grace period.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(d.current().memoryLimit())
	d.log.WithField("started", d.started).Info("host starts")
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	var logged sync.WaitGroup
	logged.Add(1)
	go func() {
		defer logged.Done()
		d.lines.Run(logging)
	}()
	defer logged.Wait()
	defer stopLogging()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	servers, err := d.listen(background, &parts)
	if err != nil {
		return err
	}
	for _, part := range []func(context.Context){
		d.follower(d.cfg.Platform.ConfigKind(), configRest, 0, d.view.configChanged).Run,
		d.follower(d.cfg.Platform.EndpointsKind(), endpointRest, lapseReturn, d.view.endpointsChanged).Run,
		func(ctx context.Context) { d.hosts.discover(ctx, d.started) }, d.stand,
		d.hosts.run, d.hosts.useLoads, d.watchStreams, d.watchPaces, d.place, d.keeper.Run,
	} {
		parts.Add(1)
		go func() {
			defer parts.Done()
			part(background)
		}()
	}
	<-ctx.Done()
	d.leave(background, servers)
	d.log.Info("host stops")
	return nil
}

func (d *Daemon) follower(kind string, rest, back time.Duration, onChange func(follow.State)) *follow.Follower {
	return follow.New(follow.Config{
		Source: d.cfg.Store, Kind: kind, Log: d.log, Wait: d.watchWait, CallMargin: watchMargin,
		Rest: func() time.Duration { return min(time.Duration(float64(rest)*d.crowd()), d.longestRest()) },
		Retry: func() time.Duration {
			return min(time.Duration(float64(storeRetry)*d.crowd()), d.longestRest()/follow.MaxBackoff)
		},
		Return: back, Outage: lapseOutage, OnChange: onChange,
	})
}

// crowd is how much rarer than a small deployment's this host's calls to the store are: the calls of all hosts are
// what the store has to bear. Hubs call as often as ever, since the others hear of changes from them.
func (d *Daemon) crowd() float64 {
	f := d.cfg.Settings.file
	if d.hosts.hub(roster.Host{PeerAddress: f.Peers, Weight: d.cfg.Settings.weight()}, time.Now()) {
		return 1
	}
	return max(1, float64(d.hosts.count())/smallDeployment)
}

// longestRest leaves half of the time in which a draining endpoint must get no more requests.
func (d *Daemon) longestRest() time.Duration {
	const half = 0.5
	return time.Duration(half * d.current().file.DrainMs * float64(time.Millisecond))
}

// watchWait is how long a watch waits. With many hosts, changes that a silent connection holds up come by peers.
func (d *Daemon) watchWait() time.Duration {
	return min(time.Duration(float64(watchWait)*d.crowd()), maxWatchWait)
}

// watchStreams looks for silent streams.
func (d *Daemon) watchStreams(ctx context.Context) {
	every(ctx, stallPeriod, func() { d.forwarder.Tick(time.Now()) })
}

// watchPaces asks endpoints that seem slow how slow they are.
func (d *Daemon) watchPaces(ctx context.Context) {
	every(ctx, pacePeriod, func() { d.forwarder.CheckSlowdowns(ctx, time.Now()) })
}

// stand tries for the lease while this host is among those that should.
func (d *Daemon) stand(ctx context.Context) {
	standing := false
	every(ctx, standPeriod, func() {
		now := time.Now()
		may := d.view.known() && d.hosts.mayLead(d.state(now).Host, now)
		if _, held := d.keeper.Held(leasePlacing); held && !d.leaving.Load() {
			// A lease that works is kept, whoever else may have come.
			may = true
		}
		if may == standing {
			return
		}
		standing = may
		if may {
			d.keeper.Hold(leasePlacing)
		} else {
			d.keeper.Release(leasePlacing)
		}
	})
}

// place orders layers while this host holds the lease.
func (d *Daemon) place(ctx context.Context) {
	defer d.placer.Wait()
	every(ctx, placePeriod, func() {
		t, endpoints := d.view.current()
		if t == nil {
			return
		}
		byService := map[string][]deployment.Endpoint{}
		for _, e := range endpoints {
			byService[e.Service] = append(byService[e.Service], e)
		}
		for name, svc := range t.Services() {
			d.placer.Tick(ctx, time.Now(), svc, byService[name])
		}
		d.forwarder.SetHosts(d.hosts.count())
	})
}

func every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

func (d *Daemon) ready() bool { return !d.leaving.Load() && d.view.known() }

// state is what this host tells its peers.
func (d *Daemon) state(now time.Time) *exchange.State {
	f := d.cfg.Settings.file
	s := &exchange.State{
		Host: roster.Host{
			Name: f.Host, CallerAddress: f.Callers, PeerAddress: f.Peers, Started: d.started, Weight: d.cfg.Settings.weight(),
			Serving: d.ready(), Leaving: d.leaving.Load(),
		},
		Usage: d.forwarder.Usage(now),
	}
	if marks := d.forwarder.Marks(); len(marks) > 0 {
		raw, err := json.Marshal(marks)
		if err != nil {
			d.log.WithError(err).Error("crash marks not told")
		}
		s.Marks = raw
	}
	d.view.tell(s, now)
	s.StoreOverdueMs = max(0, s.StoreAgeMs-(d.watchWait()+watchMargin).Milliseconds())
	s.WantNewer = s.StoreOverdueMs > staleAfter.Milliseconds()
	return s
}

// HandleState implements exchange.Handler.
func (d *Daemon) HandleState(_ context.Context, from *exchange.State) (*exchange.State, error) {
	now := time.Now()
	d.hosts.heard(from, now)
	s := d.state(now)
	d.hosts.brief(s, from, now)
	d.view.give(s, from, now)
	return s, nil
}

// takeMarks takes in the crash marks that a peer told.
func (d *Daemon) takeMarks(raw json.RawMessage) {
	var marks []forward.Mark
	if err := json.Unmarshal(raw, &marks); err != nil {
		d.log.WithError(err).Warn("peer's crash marks not read")
		return
	}
	d.forwarder.AddMarks(marks)
}

// addresses answers callers that ask where to connect.
func (d *Daemon) addresses(string) ([]string, time.Duration) {
	var out []string
	if d.ready() {
		out = append(out, d.cfg.Settings.file.Callers)
	}
	for _, s := range d.hosts.up(time.Now()) {
		out = append(out, s.CallerAddress)
	}
	return out, min(directoryTTL, seconds(d.current().file.DirectoryTTLMaxS))
}

// servers are the listeners that are closed one after the other.
type servers struct {
	callers *http.Server
	others  []*http.Server
}

func (d *Daemon) listen(ctx context.Context, parts *sync.WaitGroup) (*servers, error) {
	f := d.cfg.Settings.file
	s := &servers{callers: &http.Server{
		Handler:           d.cfg.Platform.Callers(d.forwarder, d.leaving.Load),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: nil,
	}}
	serve := func(srv *http.Server, address string) error {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
		if err != nil {
			return eris.Wrapf(err, "edge.Daemon listen %s", address)
		}
		parts.Add(1)
		go func() {
			defer parts.Done()
			if err := srv.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
				d.log.WithError(err).WithField("address", address).Error("listener ended")
			}
		}()
		return nil
	}
	for address, handler := range map[string]http.Handler{
		f.Readiness: d.cfg.Platform.Readiness(d.ready),
		f.Directory: d.cfg.Platform.Directory(d.addresses, d.log),
		f.Metrics:   http.HandlerFunc(d.writeMetrics),
	} {
		srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		err := serve(srv, address)
		if err != nil && address == f.Metrics {
			// Callers are served all the same.
			d.log.WithError(err).Error("metrics not served")
			continue
		}
		if err != nil {
			return nil, err
		}
		s.others = append(s.others, srv)
	}
	if err := serve(s.callers, f.Callers); err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.Peers)
	if err != nil {
		return nil, eris.Wrapf(err, "edge.Daemon listen %s", f.Peers)
	}
	parts.Add(1)
	go func() {
		defer parts.Done()
		if err := exchange.Serve(ctx, listener, d); err != nil {
			d.log.WithError(err).Error("peer listener ended")
		}
	}()
	return s, nil
}

func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := d.metrics.Write(w); err != nil {
		d.log.WithError(err).Warn("metrics not written")
	}
}
