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
	"waxwingplank/internal/ingress/tcp"
	"waxwingplank/internal/peer/exchange"
)

const (
	// watchMargin is how long the response to a watch may be overdue before the call is given up.
	watchMargin = 400 * time.Millisecond
	// endpointInterval collects the changes of many endpoints in one call.
	endpointInterval = 200 * time.Millisecond
	configInterval   = 20 * time.Millisecond
	// leaseRetryDelay is the delay before a call about the lease is repeated.
	leaseRetryDelay = 250 * time.Millisecond
	// lapsedReturnTime is how long after an outage of the store lapsed entries may come back.
	lapsedReturnTime = 1800 * time.Millisecond
	lapseMinOutage   = 2 * time.Second
	// stallCheckInterval is the interval between two checks for stalled streams, a fraction of their idle timeout.
	stallCheckInterval = 10 * time.Millisecond
	// slowdownCheckInterval is the interval between two checks for slow endpoints, a multiple of the gap between
	// two events.
	slowdownCheckInterval = 250 * time.Millisecond
	placeInterval         = 150 * time.Millisecond
	leaseCheckInterval    = 500 * time.Millisecond
	// The lease for placing lasts a few renewals, so that another host takes over a few seconds after the holder
	// has failed.
	leaseDuration   = 4 * time.Second
	leaseRenewal    = 1200 * time.Millisecond
	leaseStopMargin = 800 * time.Millisecond
	leasePlacing    = "placing"
	// directoryTTL is how long callers may cache a response. It is short because they use it for up to three times
	// as long.
	directoryTTL = time.Second
	// memoryShare is the share of the host's memory that is the soft limit of the heap.
	memoryShare = 0.7
	// gcPercent reduces memory, which is billed at its peak, at the cost of processor time.
	gcPercent = 60
)

// Store reads and writes objects of the platform's store.
type Store interface {
	follow.Source
	leases.Store
}

// Platform decodes what the operator and the endpoints of the platform write, and serves its calls.
type Platform interface {
	// ConfigKind and ConfigName name the object with the configuration, EndpointsKind the kind of the endpoints'
	// entries.
	ConfigKind() string
	ConfigName() string
	EndpointsKind() string
	DecodeConfig(value []byte) (deployment.Config, error)
	DecodeEndpoint(name string, value []byte) (deployment.Endpoint, error)
	// Callers, Directory and Readiness return handlers for the platform's calls.
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
	cfg       Config
	log       *logrus.Entry
	logWriter *journal.Async
	startTime time.Time
	// incarnation is the start time in Unix nanoseconds, by which other hosts recognize a restart.
	incarnation int64
	forwarder   *forward.Forwarder
	metrics     *forward.Metrics
	view        *view
	hosts       *hosts
	schedule    roster.Schedule
	placer      *placing.Placer
	leases      *leases.Manager
	limits      *callerLimits
	leaving     atomic.Bool

	settingsMu sync.Mutex
	settings   Settings
}

// decisions writes the forwarder's decisions to the journal.
type decisions struct{ journal *journal.Journal }

// Decision implements forward.Logger.
func (d decisions) Decision(request, decision string, fields map[string]any) {
	d.journal.Decision(table.RequestID(request), decision, fields)
}

// New returns a daemon. It serves while Run runs.
func New(cfg Config) (*Daemon, error) {
	logWriter := journal.NewAsync(cfg.Log)
	j, err := journal.New(journal.Config{Writer: logWriter, Level: cfg.Settings.file.LogLevel, Host: table.HostID(cfg.Settings.file.Host)})
	if err != nil {
		return nil, eris.Wrap(err, "edge.New")
	}
	startTime := time.Now()
	d := &Daemon{logWriter: logWriter, cfg: cfg, log: j.Log(), startTime: startTime, metrics: forward.NewMetrics(), settings: cfg.Settings}
	d.incarnation = startTime.UnixNano() //nolint:forbidigo // compared for equality only
	d.schedule = roster.NewSchedule(roster.ScheduleConfig{ApplyTime: cfg.Settings.applyTime(), FirstStart: cfg.Settings.file.FirstStart})
	d.forwarder = forward.New(forward.Config{
		Endpoints: cfg.Workers, Log: decisions{j}, Metrics: d.metrics, Host: cfg.Settings.file.Host, Domain: cfg.Settings.file.FailureDomain,
		Budget: cfg.Settings.budget(startTime), Seed: rand.Int63(),
	})
	d.limits = newCallerLimits(cfg.Settings)
	d.view = &view{
		platform: cfg.Platform, log: d.log, leftOut: map[string]int64{}, removals: map[string]int64{},
		onTable: func(t *deployment.Table) {
			d.limits.setTable(t)
			d.forwarder.SetTable(t)
		},
		onEndpoints: d.forwarder.SetEndpoints,
		startTime:   startTime, trustedAge: cfg.Settings.applyTime(),
	}
	d.hosts = &hosts{
		cfg: cfg.Settings, log: d.log, view: d.view, client: exchange.NewClient(reportTimeout), store: cfg.Store,
		self: func() *exchange.State { return d.state(time.Now()) }, onUsage: d.forwarder.SetPeerUsage, onMarks: d.handleMarks,
		onPeerChanged: d.forwarder.RepeatRefusals,
		roster:        roster.New(roster.Config{Self: d.host(false)}),
	}
	for _, seed := range cfg.Settings.file.Seeds {
		d.hosts.add(seed, "", 0)
	}
	d.leases = leases.New(leases.Config{
		Store: cfg.Store, Log: d.log, CallTimeout: callTimeout,
		System: lease.Config{
			Self: table.HostID(cfg.Settings.file.Host), Incarnation: uint64(d.incarnation), Duration: leaseDuration,
			Renewal: leaseRenewal, StopMargin: leaseStopMargin, MaxOrderTime: time.Second, Retry: leaseRetryDelay,
		},
	})
	d.placer = placing.New(placing.Config{
		Endpoints: cfg.Workers, Log: d.log,
		Held:     func() (int64, bool) { return d.leases.Held(leasePlacing) },
		OnFenced: func() { d.leases.Release(leasePlacing); d.leases.Hold(leasePlacing) },
	})
	return d, nil
}

// Run serves until ctx ends. It then lets open requests finish within the grace period.
func (d *Daemon) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(d.current().memoryLimit())
	d.log.WithField("started", d.incarnation).Info("host starts")
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	var logged sync.WaitGroup
	logged.Add(1)
	go func() {
		defer logged.Done()
		d.logWriter.Run(logging)
	}()
	defer logged.Wait()
	defer stopLogging()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	servers, err := d.listen(background, &tasks)
	if err != nil {
		// The tasks of the listeners that are open already end only once these are closed.
		servers.close(d.log)
		return err
	}
	for _, task := range []func(context.Context){
		d.follower(d.cfg.Platform.ConfigKind(), configInterval, 0, d.view.configAge, d.view.configChanged).Run,
		d.follower(d.cfg.Platform.EndpointsKind(), endpointInterval, lapsedReturnTime, d.view.endpointsAge, d.view.endpointsChanged).Run,
		func(ctx context.Context) { d.hosts.discover(ctx, d.incarnation) }, d.contendForLease,
		func(ctx context.Context) { d.limits.guard.Run(ctx, d.log) }, d.hosts.run, d.hosts.applyUsage, d.checkStreams, d.checkSlowdowns, d.place, d.leases.Run,
	} {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			task(background)
		}()
	}
	<-ctx.Done()
	d.leave(background, servers)
	d.log.Info("host stops")
	return nil
}

// follower returns a follower of a kind. age returns how long ago the store confirmed the list, also to a peer.
func (d *Daemon) follower(kind string, interval, returnTime time.Duration, age func(time.Time) time.Duration, onChange func(follow.State)) *follow.Follower {
	return follow.New(follow.Config{
		Source: d.cfg.Store, Kind: kind, Log: d.log, WatchTimeout: d.watchTimeout, CallMargin: watchMargin,
		Interval:   func() time.Duration { return interval },
		RetryDelay: func() time.Duration { return d.schedule.RetryDelay(d.hosts.role(time.Now()), d.hosts.count()) },
		ReturnTime: returnTime, MinOutage: lapseMinOutage, OnChange: onChange,
		Standby: func() (time.Duration, time.Time) {
			now := time.Now()
			return d.schedule.Standby(d.hosts.role(now), age(now), now.Sub(d.startTime)), now.Add(-age(now))
		},
	})
}

// watchTimeout returns how long a watch of the store waits.
func (d *Daemon) watchTimeout() time.Duration {
	return d.schedule.WatchTimeout(d.hosts.role(time.Now()))
}

// checkStreams checks for stalled streams until ctx ends.
func (d *Daemon) checkStreams(ctx context.Context) {
	every(ctx, stallCheckInterval, func() { d.forwarder.Tick(time.Now()) })
}

// checkSlowdowns asks endpoints that seem slow for their slowdown until ctx ends.
func (d *Daemon) checkSlowdowns(ctx context.Context) {
	every(ctx, slowdownCheckInterval, func() { d.forwarder.CheckSlowdowns(ctx, time.Now()) })
}

// contendForLease tries to hold the lease for placing while this host is among those that may lead.
func (d *Daemon) contendForLease(ctx context.Context) {
	contending := false
	every(ctx, leaseCheckInterval, func() {
		now := time.Now()
		may := d.view.loaded() && d.schedule.Settled(now.Sub(d.startTime)) && d.hosts.mayLead(now)
		if _, held := d.leases.Held(leasePlacing); held && !d.leaving.Load() {
			// A valid lease is kept, even if a better candidate has joined.
			may = true
		}
		if may == contending {
			return
		}
		contending = may
		if may {
			d.leases.Hold(leasePlacing)
		} else {
			d.leases.Release(leasePlacing)
		}
	})
}

// place orders workers to hold layers while this host holds the lease.
func (d *Daemon) place(ctx context.Context) {
	defer d.placer.Wait()
	every(ctx, placeInterval, func() {
		t, endpoints := d.view.current()
		if t == nil {
			return
		}
		byService := map[string][]deployment.Endpoint{}
		for _, e := range d.forwarder.WithLeaving(endpoints) {
			byService[e.Service] = append(byService[e.Service], e)
		}
		for name, svc := range t.Services() {
			d.placer.Tick(ctx, time.Now(), svc, byService[name])
		}
		d.forwarder.SetHosts(d.hosts.count(), d.hosts.recent())
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

func (d *Daemon) ready() bool { return !d.leaving.Load() && d.view.loaded() }

// host returns what this host reports of itself.
func (d *Daemon) host(storeLost bool) roster.Host {
	f := d.cfg.Settings.file
	return roster.Host{
		Name: f.Host, Domain: f.FailureDomain, CallerAddress: f.Callers, PeerAddress: f.Peers, Started: d.incarnation,
		Weight: d.cfg.Settings.weight(), Serving: d.view != nil && d.ready(), Leaving: d.leaving.Load(), StoreLost: storeLost,
	}
}

// state returns the state that this host reports to its peers.
func (d *Daemon) state(now time.Time) *exchange.State {
	role := d.hosts.role(now)
	s := &exchange.State{
		Report: roster.Report{Host: d.host(d.storeLost(now, role)), Usage: d.forwarder.Usage(now)}, Follows: role == roster.Follower || role == roster.SecondHub,
		WantNewer: d.view.endpointsAge(now) > d.schedule.StandbyLimit()+watchMargin,
	}
	d.hosts.setSelf(s.Host)
	if marks := d.forwarder.Marks(); len(marks) > 0 {
		raw, err := json.Marshal(marks)
		if err != nil {
			d.log.WithError(err).Error("crash marks not encoded")
		}
		s.Marks = raw
	}
	d.view.fillState(s, now)
	return s
}

// storeLost reports whether the store's next response is overdue, or there was none yet.
func (d *Daemon) storeLost(now time.Time, role roster.Role) bool {
	return !d.view.loaded() || d.schedule.StoreLost(role, d.view.endpointsAge(now), d.view.storeAge(now))
}

// HandleState implements exchange.Handler.
func (d *Daemon) HandleState(_ context.Context, from *exchange.State) (*exchange.State, error) {
	now := time.Now()
	d.hosts.receive(from, now)
	d.view.receiveReport(from)
	s := d.state(now)
	d.hosts.respond(s, from, now)
	if newer := d.view.newerFor(from); newer != nil {
		s.Newer = *newer
	}
	return s, nil
}

// handleMarks handles the crash marks that a peer reported.
func (d *Daemon) handleMarks(raw json.RawMessage) {
	var marks []forward.Mark
	if err := json.Unmarshal(raw, &marks); err != nil {
		d.log.WithError(err).Warn("peer's crash marks not read")
		return
	}
	d.forwarder.AddMarks(marks)
}

// addresses returns the addresses to which callers in a domain may connect and how long they may cache them.
func (d *Daemon) addresses(domain string) ([]string, time.Duration) {
	now := time.Now()
	d.hosts.setSelf(d.host(d.storeLost(now, d.hosts.role(now))))
	var out []string
	for _, h := range d.hosts.directory(domain, now) {
		out = append(out, h.CallerAddress)
	}
	return out, min(directoryTTL, seconds(d.current().file.DirectoryTTLMaxS))
}

// servers are the listeners, which leave closes one after the other.
type servers struct {
	callers         *http.Server
	callersListener tcp.Listener
	others          []*http.Server
}

// close closes all listeners and connections at once.
func (s *servers) close(log logrus.FieldLogger) {
	for _, srv := range append(s.others, s.callers) {
		if err := srv.Close(); err != nil {
			log.WithError(err).Warn("listener not closed")
		}
	}
}

// listen opens the listeners. Those that were opened before an error are returned with it.
func (d *Daemon) listen(ctx context.Context, tasks *sync.WaitGroup) (*servers, error) {
	f := d.cfg.Settings.file
	newServer := func(handler http.Handler) *http.Server {
		return &http.Server{
			Handler: handler, ConnState: d.limits.guard.ConnState,
			ReadHeaderTimeout: serverTimeout, IdleTimeout: serverTimeout, MaxHeaderBytes: serverHeaderBytes,
		}
	}
	s := &servers{callers: newServer(d.cfg.Platform.Callers(d.forwarder, d.leaving.Load))}
	serve := func(srv *http.Server, address string) (tcp.Listener, error) {
		listener, err := tcp.Listen(ctx, net.ListenConfig{}, address)
		if err != nil {
			return listener, eris.Wrap(err, "edge.Daemon")
		}
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			if err := srv.Serve(d.limits.guard.Listener(tcp.ListenerConfig{Listener: listener, Reserved: srv != s.callers})); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				d.log.WithError(err).WithField("address", address).Error("listener ended")
			}
		}()
		return listener, nil
	}
	for address, handler := range map[string]http.Handler{
		f.Readiness: d.cfg.Platform.Readiness(d.ready),
		f.Directory: d.cfg.Platform.Directory(d.addresses, d.log),
		f.Metrics:   http.HandlerFunc(d.writeMetrics),
	} {
		srv := newServer(handler)
		// These requests have no bodies. A body that does not come would keep its connection for ever.
		srv.ReadTimeout = idleTimeout
		_, err := serve(srv, address)
		if err != nil && address == f.Metrics {
			// Callers can be served without metrics.
			d.log.WithError(err).Error("metrics not served")
			continue
		}
		if err != nil {
			return s, err
		}
		s.others = append(s.others, srv)
	}
	var err error
	if s.callersListener, err = serve(s.callers, f.Callers); err != nil {
		return s, err
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", f.Peers)
	if err != nil {
		return s, eris.Wrapf(err, "edge.Daemon listen %s", f.Peers)
	}
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		if err := exchange.Serve(ctx, listener, d); err != nil {
			d.log.WithError(err).Error("peer listener ended")
		}
	}()
	return s, nil
}
