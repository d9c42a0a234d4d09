package run

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/claim"
	"waxwingplank/internal/core/connection"
	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/quarantine"
	"waxwingplank/internal/core/routing"
	"waxwingplank/internal/core/seal"
	"waxwingplank/internal/core/stream"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/claims"
	"waxwingplank/internal/daemon/credentials"
	"waxwingplank/internal/daemon/dispatch"
	"waxwingplank/internal/daemon/fleet"
	"waxwingplank/internal/daemon/journal"
	"waxwingplank/internal/daemon/leases"
	"waxwingplank/internal/daemon/members"
	"waxwingplank/internal/daemon/orders"
	"waxwingplank/internal/daemon/settings"
	"waxwingplank/internal/daemon/streams"
	"waxwingplank/internal/endpoint/engine"
	"waxwingplank/internal/endpoint/plain"
	"waxwingplank/internal/ingress/caller"
	"waxwingplank/internal/ingress/tcp"
	"waxwingplank/internal/peer/host"
	"waxwingplank/internal/platform/hostlist"
	"waxwingplank/internal/platform/objectapi"
)

const (
	// engineProgressDeadline is two engine heartbeats. It leaves 1 s of the 2 s recovery limit for the recovery itself.
	engineProgressDeadline = time.Second
	// callerHeartbeatInterval lets a caller detect an unresponsive connection within 2 s.
	callerHeartbeatInterval = 500 * time.Millisecond
	// headerTimeout limits the time for reading the headers of a request.
	headerTimeout = 5 * time.Second
	// bodyTimeout is long enough for a body of the default maximum size at 1 Mbit/s.
	bodyTimeout = 10 * time.Second
	// idleTimeout closes connections without a request, to release those of callers that disappeared.
	idleTimeout = 60 * time.Second
	maxAttempts = 8
)

// Config configures a Daemon.
type Config struct {
	Settings settings.Settings
	Log      io.Writer
}

// Daemon is one entry host: it accepts the requests of callers.
type Daemon struct {
	settings settings.Settings
	journal  *journal.Journal

	objects    *objectapi.Client
	hostList   *hostlist.Client
	engine     *engine.Client
	plain      *plain.Client
	peers      *host.Client
	members    *members.Members
	dispatcher *dispatch.Dispatcher
	fleet      *fleet.Fleet
	leases     *leases.Manager
	orders     *orders.Executor
	claims     *claims.Manager
	loop       *streams.Loop
	runner     *streams.Runner
	tokens     *credentials.Tokens

	caller             *caller.Handler
	callers, operators *http.Server
	peer               *host.Server
	guard              *tcp.Guard
	// callersListener is the listener of callers below TLS; callersDrained is closed once it accepts no more connections.
	callersListener tcp.Listener
	callersDrained  <-chan struct{}

	requestIDPrefix string
	lastRequestID   atomic.Uint64
	inflight        inflightCounts
	draining        atomic.Bool
	// drained is true once the caller listener is closed and the wait for requests in flight has ended.
	drained atomic.Bool
	started time.Time
	pauses  pauseDetector
	drain   chan string
	tasks   sync.WaitGroup
}

// inflightCounts is the number of requests in flight.
type inflightCounts struct{ streams, calls atomic.Int64 }

func (c *inflightCounts) total() int64 { return c.streams.Load() + c.calls.Load() }

// New returns a daemon that is not running yet; see Run.
func New(cfg Config) (*Daemon, error) {
	log, err := journal.New(journal.Config{Writer: cfg.Log, Level: cfg.Settings.LogLevel(), Host: cfg.Settings.Host()})
	if err != nil {
		return nil, eris.Wrap(err, "run.New")
	}
	d := &Daemon{settings: cfg.Settings, journal: log, drain: make(chan string, 1), started: time.Now()}
	var salt [8]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return nil, eris.Wrap(err, "run.New")
	}
	d.requestIDPrefix = fmt.Sprintf("%s-%s-", cfg.Settings.Host(), hex.EncodeToString(salt[:]))
	if d.tokens, err = credentials.NewTokens(credentials.TokensConfig{File: cfg.Settings.TokensFile(), Now: time.Now}); err != nil {
		return nil, eris.Wrap(err, "run.New")
	}
	// The timeouts of the servers apply, since they do not change.
	d.guard = tcp.NewGuard(connection.Limits{
		HeadBytes: int64(d.settings.MaxHeaderBytes()), HeadMemoryBytes: d.settings.MaxUnfinishedHeadsBytes(), Connections: d.settings.MaxConnections(),
	})
	d.buildClients()
	if err := d.buildParts(binary.BigEndian.Uint64(salt[:])); err != nil {
		return nil, eris.Wrap(err, "run.New")
	}
	return d, nil
}

func (d *Daemon) buildClients() {
	s := d.settings
	d.objects = objectapi.New(objectapi.Config{Address: s.ObjectAPIAddress(), Timeout: s.PlatformTimeout()})
	d.hostList = hostlist.New(hostlist.Config{Address: s.HostListAddress(), Timeout: s.PlatformTimeout()})
	d.engine = engine.New(engine.Config{ProgressDeadline: engineProgressDeadline})
	d.plain = plain.New(plain.Config{Timeout: s.MaxRequestTime(), MaxBodyBytes: s.MaxResponseBytes()})
}

func (d *Daemon) buildParts(seed uint64) error {
	d.dispatcher = dispatch.New(dispatch.Config{
		Routing: routing.Config{Seed: seed}, Journal: d.journal, Clock: time.Now,
		OnDemand: func(x routing.Demand) { d.fleet.RecordDemand(x) },
	})
	d.claims = claims.New(claims.Config{
		Store: store{client: d.objects},
		System: claim.Config{
			Shards: d.settings.ClaimShards(), FlushInterval: d.settings.ClaimFlushInterval(), InlineBytes: d.settings.ClaimInlineBytes(),
			Seed: [2]uint64{seed, uint64(time.Now().UnixNano())},
		},
		Log: d.journal.Log(),
	})
	if err := d.buildMembers(); err != nil {
		return err
	}
	if err := d.buildStreams(); err != nil {
		return err
	}
	d.buildPlacement()
	d.fleet = fleet.New(fleet.Config{
		Placement: d.orders,
		Self:      d.settings.Host(), Live: d.members.Live, Address: d.peerAddress, Peers: d.peers,
		Engines: d.engine, Journal: d.journal, Post: d.dispatcher.Post, Clock: time.Now,
		OnIncarnation: d.runner.SetIncarnation, OnCrash: d.endpointRestarted,
	})
	d.members.OnDocument(func(doc document.Document) {
		d.orders.ApplyDocument(doc)
		d.fleet.ApplyDocument(doc)
	})
	d.caller = caller.New(caller.Config{
		Backend: d, MaxBodyBytes: d.settings.MaxBodyBytes(), BodyTimeout: bodyTimeout, MaxStreams: d.settings.MaxStreams(), MaxRequestTime: d.settings.MaxRequestTime(),
		HeartbeatInterval: callerHeartbeatInterval, NewRequestID: d.newRequestID,
	})
	return nil
}

func (d *Daemon) buildMembers() error {
	clientTLS, err := d.peerClientTLS()
	if err != nil {
		return err
	}
	d.peers = host.NewClient(host.ClientConfig{TLS: clientTLS})
	d.members, err = members.New(members.Config{
		Self: membership.Host{
			ID: d.settings.Host(), Address: d.settings.CallerAddress(), PeerAddress: d.settings.PeerAddress(),
			FailureDomain: d.settings.FailureDomain(), Region: d.settings.Region(), Operator: d.settings.OperatorAddress(),
		},
		Peers: d.peers, HostList: hosts{client: d.hostList}, Objects: objects{client: d.objects},
		Log:     d.journal.Log(),
		OnDrain: d.Drain,
		OnHost:  d.handleHostChange,
		OnMark:  d.receiveMark,
	})
	return err
}

func (d *Daemon) buildStreams() error {
	var keys [][]byte
	for _, k := range d.settings.SealKeys() {
		keys = append(keys, k.Key())
	}
	sealer, err := seal.New(seal.Config{Keys: keys, Random: rand.Reader})
	if err != nil {
		return err
	}
	d.loop = streams.NewLoop(streams.LoopConfig{
		Streams: stream.Config{MaxAttempts: maxAttempts}, Quarantine: quarantine.Config{},
		Marks: marks{members: d.members}, Log: d.journal.Log(), Clock: time.Now,
	})
	d.runner = streams.New(streams.Config{
		Loop:      d.loop,
		Engines:   engines{client: d.engine, dispatcher: d.dispatcher, clock: time.Now},
		Pipelines: pipelines{dispatcher: d.dispatcher, clock: time.Now},
		Sealer:    sealer, Log: d.journal.Log(), IdleTimeout: engineProgressDeadline, MaxAttempts: maxAttempts, Clock: time.Now,
	})
	return nil
}

func (d *Daemon) newRequestID() table.RequestID {
	return table.RequestID(d.requestIDPrefix + strconv.FormatUint(d.lastRequestID.Add(1), 36))
}

// Run serves requests until a drain is requested or the context ends, then drains and stops the daemon.
func (d *Daemon) Run(ctx context.Context) error {
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := d.listen(parts); err != nil {
		return eris.Wrap(err, "run.Run")
	}
	for _, part := range []func(context.Context){
		d.dispatcher.Run, d.claims.Run, d.loop.Serve, d.fleet.Run, d.leases.Run, d.orders.Run, d.sweepClaims, d.reportLoad, d.pauses.run,
		func(ctx context.Context) { d.guard.Run(ctx, d.journal.Log()) },
	} {
		d.tasks.Go(func() { part(parts) })
	}
	d.members.Start()
	d.publishMetrics()
	d.journal.Log().WithField("caller_address", d.settings.CallerAddress()).Info("host started")
	select {
	case <-ctx.Done():
		d.startDrain("signal")
	case cause := <-d.drain:
		d.startDrain(cause)
	}
	d.finishRequests()
	d.close(stop)
	return nil
}

func (d *Daemon) listen(ctx context.Context) error {
	callers, drainable, err := d.listenTLS(ctx, d.settings.CallerAddress(), false)
	if err != nil {
		return err
	}
	d.callersListener = drainable
	d.callers, d.callersDrained = d.serve(callers, d.closeWhileDraining(d.caller))
	operators, _, err := d.listenTLS(ctx, d.settings.OperatorAddress(), true)
	if err != nil {
		return err
	}
	d.operators, _ = d.serve(operators, d.operatorHandler())
	peerTLS, err := d.peerServerTLS()
	if err != nil {
		return err
	}
	peers, err := new(net.ListenConfig).Listen(ctx, "tcp", d.settings.PeerAddress())
	if err != nil {
		return err
	}
	d.peer, err = host.NewServer(host.ServerConfig{
		Listener: peers, Handler: peerHandler{Members: d.members, daemon: d}, TLS: peerTLS,
		OnError: func(err error) { d.journal.Log().WithError(err).Debug("a peer connection ended with an error") },
	})
	return err
}

// serve starts a server. The channel is closed once the server accepts no more connections.
func (d *Daemon) serve(listener net.Listener, handler http.Handler) (*http.Server, <-chan struct{}) {
	ended := make(chan struct{})
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: d.settings.MaxHeaderBytes(), ConnState: d.guard.ConnState,
	}
	d.tasks.Go(func() {
		defer close(ended)
		if err := server.Serve(listener); err != nil && !eris.Is(err, http.ErrServerClosed) && !eris.Is(err, net.ErrClosed) {
			d.journal.Log().WithError(err).Error("listener ended")
		}
	})
	return server, ended
}

// sweepClaims periodically deletes claim segments that no shard refers to. Only one host does so at a time.
func (d *Daemon) sweepClaims(ctx context.Context) {
	const interval = 5 * time.Minute
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if membership.Owner("claim-sweep", d.members.Live()) != d.settings.Host() {
			continue
		}
		if err := d.claims.Sweep(ctx); err != nil {
			d.journal.Log().WithError(err).Warn("sweeping claim segments failed")
		}
	}
}

func (d *Daemon) handleHostChange(id table.HostID, from, to membership.State) {
	d.journal.Decision("", "host_state", journal.Fields{"peer": string(id), "from": string(from), "to": string(to)})
	live := d.members.Live()
	rank := 0
	for i, h := range live {
		if h == d.settings.Host() {
			rank = i
		}
	}
	d.dispatcher.Post(routing.NewHosts(len(live), rank))
}

// endpointRestarted records a restart that a load report revealed. It does not notify streams: those that the
// restart broke detect it on their connections, and by the time of the report new streams may run there already.
func (d *Daemon) endpointRestarted(id table.EndpointID, incarnation uint64) {
	d.journal.Decision("", "endpoint_restarted", journal.Fields{"endpoint": string(id), "ended_incarnation": incarnation})
}
