package benchmembers

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
)

// Durations of the simulated clock, of messages between hosts and of platform reads.
const (
	stepLength  = 10 * time.Millisecond
	tickLength  = 50 * time.Millisecond
	latency     = time.Millisecond
	callTimeout = 400 * time.Millisecond
	// watchDelay is the time from an accepted write to the response of a pending watch.
	watchDelay   = 50 * time.Millisecond
	listInterval = time.Second
	// checkSteps is the number of steps between checks of a condition. A check takes longer than a step.
	checkSteps = 5
)

// NetConfig describes a Net.
type NetConfig struct {
	Hosts   int
	Domains int
	Regions int
	Seed    uint64
	// Interceptor, if not nil, replaces each message, for example with an encoded and decoded copy.
	Interceptor Interceptor
}

// Interceptor transforms messages in transit and may count them.
type Interceptor interface {
	Heartbeat(from, to table.HostID, h membership.Heartbeat, now time.Time) membership.Heartbeat
	Reply(from, to table.HostID, r membership.Reply, now time.Time) membership.Reply
}

// Node is one host of a Net.
type Node struct {
	System *membership.System
	Host   membership.Host
	Docs   map[string]uint64
	// Log holds the decisions that the net does not execute, for tests and figures.
	Log []Entry

	up       bool
	paused   time.Time
	inbox    []membership.Event
	nextTick time.Time
	nextList time.Time
	busy     time.Duration
	ticks    int
}

// Entry is a decision and its time.
type Entry struct {
	At       time.Time
	Decision membership.Decision
}

// Up reports whether the host's process is running.
func (n *Node) Up() bool { return n.up }

// Net delivers messages between hosts in one process and in simulated time.
type Net struct {
	Now   time.Time
	Nodes []*Node
	// Loss is the fraction of messages that are lost, from 0 to 1.
	Loss float64
	// Cut reports whether two hosts cannot reach each other.
	Cut func(a, b membership.Host) bool
	// Platform holds the generations of the documents in the object API. PlatformUp and ListUp report whether the
	// object API and the host list are available.
	Platform   map[string]uint64
	PlatformUp bool
	ListUp     bool
	Leaving    map[table.HostID]bool
	Unlisted   map[table.HostID]bool
	// Calls counts the calls to the platform.
	Calls int

	cfg     NetConfig
	rng     *rand.Rand
	byID    map[table.HostID]*Node
	queue   queue
	order   int
	calls   map[uint64]*pendingCall
	next    uint64
	changed time.Time
}

type pendingCall struct {
	from, to *Node
	done     bool
	push     bool
}

type item struct {
	at    time.Time
	order int
	run   func()
}

type queue []item

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// NewNet returns a net whose hosts have all been started. They learn about each other from the host list only.
func NewNet(cfg NetConfig) *Net {
	n := &Net{
		Now:        time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		Platform:   map[string]uint64{},
		PlatformUp: true,
		ListUp:     true,
		Leaving:    map[table.HostID]bool{},
		Unlisted:   map[table.HostID]bool{},
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 1)),
		byID:       map[table.HostID]*Node{},
		calls:      map[uint64]*pendingCall{},
	}
	for i := range cfg.Hosts {
		domain := i % cfg.Domains
		h := membership.Host{
			ID:            table.HostID(fmt.Sprintf("host-%03d", i)),
			Address:       fmt.Sprintf("10.0.%d.%d:8080", domain, i),
			PeerAddress:   fmt.Sprintf("10.0.%d.%d:8081", domain, i),
			FailureDomain: fmt.Sprintf("domain-%02d", domain),
			Region:        fmt.Sprintf("region-%d", domain%max(cfg.Regions, 1)),
		}
		node := &Node{Host: h}
		n.Nodes = append(n.Nodes, node)
		n.byID[h.ID] = node
		n.Start(node)
	}
	return n
}

// Node returns the host with the ID, or nil.
func (n *Net) Node(id table.HostID) *Node { return n.byID[id] }

// Start starts a host without any state of an earlier run.
func (n *Net) Start(node *Node, seedHosts ...membership.Host) {
	s, err := membership.New(membership.Config{Self: node.Host, Incarnation: uint64(n.Now.UnixMilli()), SeedHosts: seedHosts})
	if err != nil {
		panic(err)
	}
	offset := time.Duration(n.rng.Int64N(int64(tickLength)))
	node.System, node.Docs, node.Log = s, map[string]uint64{}, nil
	node.up, node.inbox, node.paused = true, nil, time.Time{}
	node.nextTick = n.Now.Add(offset)
	node.nextList = node.nextTick
}

// Kill stops a host's machine. Its address no longer accepts messages.
func (n *Net) Kill(node *Node) { node.up = false }

// Pause stops a host's process for d. Its events are queued until then.
func (n *Net) Pause(node *Node, d time.Duration) { node.paused = n.Now.Add(d) }

// Post queues an event for a host.
func (n *Net) Post(node *Node, e membership.Event) { node.inbox = append(node.inbox, e) }

// Write stores a generation of a document on the platform.
func (n *Net) Write(service string, generation uint64) {
	n.Platform[service] = generation
	n.changed = n.Now
}

// Run advances the simulated time by d.
func (n *Net) Run(d time.Duration) {
	n.Until(d, func() bool { return false })
}

// Until advances the simulated time until done returns true, and reports whether that happened within d.
func (n *Net) Until(d time.Duration, done func() bool) bool {
	end := n.Now.Add(d)
	for i := 0; n.Now.Before(end); i++ {
		if i%checkSteps == 0 && done() {
			return true
		}
		n.step()
	}
	return done()
}

func (n *Net) step() {
	n.Now = n.Now.Add(stepLength)
	for len(n.queue) > 0 && !n.queue[0].at.After(n.Now) {
		x := heap.Pop(&n.queue).(item)
		x.run()
	}
	for _, node := range n.Nodes {
		if !n.runs(node) {
			continue
		}
		if len(node.inbox) == 0 && n.Now.Before(node.nextTick) {
			continue
		}
		n.tick(node)
	}
}

// runs reports whether a host's process is up and not paused.
func (n *Net) runs(node *Node) bool { return node.up && !n.Now.Before(node.paused) }

func (n *Net) tick(node *Node) {
	if !n.Now.Before(node.nextTick) {
		node.nextTick = n.Now.Add(tickLength)
		n.readPlatform(node)
	}
	events := node.inbox
	node.inbox = nil
	start := time.Now()
	decisions := node.System.Tick(n.Now, events)
	node.busy += time.Since(start)
	node.ticks++
	for _, d := range decisions {
		n.execute(node, d)
	}
}

// readPlatform gives a host the host list and the changed documents if it reads or watches them.
func (n *Net) readPlatform(node *Node) {
	if n.ListUp && node.System.ReadsHostList() && !n.Now.Before(node.nextList) {
		node.nextList = n.Now.Add(listInterval)
		n.Calls++
		node.inbox = append(node.inbox, membership.NewHostListRead(n.list()))
	}
	if !n.PlatformUp || !node.System.WatchesDocuments() || n.Now.Sub(n.changed) < watchDelay {
		return
	}
	for service, g := range n.Platform {
		n.adopt(node, service, g)
	}
}

func (n *Net) adopt(node *Node, service string, g uint64) {
	if node.Docs[service] >= g {
		return
	}
	node.Docs[service] = g
	node.inbox = append(node.inbox, membership.NewDocumentAdopted(service, g))
}

func (n *Net) list() []membership.ListedHost {
	var out []membership.ListedHost
	for _, node := range n.Nodes {
		if !n.Unlisted[node.Host.ID] {
			out = append(out, membership.ListedHost{Host: node.Host, Leaving: n.Leaving[node.Host.ID]})
		}
	}
	return out
}

func (n *Net) after(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.queue, item{at: n.Now.Add(d), order: n.order, run: run})
}

// arrives reports whether a message from a to b is delivered. It is random if the net loses messages.
func (n *Net) arrives(a, b *Node) bool {
	if b == nil || !b.up || (n.Cut != nil && n.Cut(a.Host, b.Host)) {
		return false
	}
	return n.Loss == 0 || n.rng.Float64() >= n.Loss
}

func (n *Net) execute(node *Node, d membership.Decision) {
	switch d := d.(type) {
	case membership.SendHeartbeat:
		n.sendHeartbeat(node, d)
	case membership.AnswerHeartbeat:
		n.answer(node, d)
	case membership.SendProbe:
		n.probe(node, d)
	case membership.FetchDocuments:
		n.fetch(node, n.byID[d.From()])
	default:
		node.Log = append(node.Log, Entry{At: n.Now, Decision: d})
	}
}

func (n *Net) sendHeartbeat(node *Node, d membership.SendHeartbeat) {
	to := n.byID[d.To()]
	n.next++
	id := n.next
	c := &pendingCall{from: node, to: to, push: d.Push()}
	n.calls[id] = c
	h := d.Heartbeat()
	if n.cfg.Interceptor != nil {
		h = n.cfg.Interceptor.Heartbeat(node.Host.ID, d.To(), h, n.Now)
	}
	if n.arrives(node, to) {
		n.after(latency, func() { to.inbox = append(to.inbox, membership.NewHeartbeatReceived(id, h)) })
	}
	n.after(callTimeout, func() {
		delete(n.calls, id)
		if !c.done && !c.push {
			node.inbox = append(node.inbox, membership.NewHeartbeatFailed(d.To()))
		}
		c.done = true
	})
}

func (n *Net) answer(node *Node, d membership.AnswerHeartbeat) {
	c := n.calls[d.Call()]
	if c == nil || c.done {
		return
	}
	r := d.Reply()
	if n.cfg.Interceptor != nil {
		r = n.cfg.Interceptor.Reply(node.Host.ID, c.from.Host.ID, r, n.Now)
	}
	if c.push || !n.arrives(node, c.from) {
		return
	}
	n.after(latency, func() {
		if !c.done {
			c.done = true
			c.from.inbox = append(c.from.inbox, membership.NewReplyReceived(node.Host.ID, r))
		}
	})
}

func (n *Net) probe(node *Node, d membership.SendProbe) {
	target := n.byID[d.Target()]
	answer := func(after time.Duration, answered, alive bool) {
		n.after(after, func() {
			node.inbox = append(node.inbox, membership.NewProbeAnswered(d.Target(), d.Prober(), answered, alive))
		})
	}
	if d.Prober() == "" {
		if n.roundTrip(node, target) {
			answer(2*latency, true, true)
		} else {
			answer(callTimeout, false, false)
		}
		return
	}
	prober := n.byID[d.Prober()]
	switch {
	case !n.roundTrip(node, prober):
		answer(callTimeout, false, false)
	case n.roundTrip(prober, target):
		answer(4*latency, true, true)
	default:
		answer(2*latency+membership.ProbeTimeout, true, false)
	}
}

// roundTrip reports whether a request from a to b and its reply are delivered.
func (n *Net) roundTrip(a, b *Node) bool {
	return n.arrives(a, b) && n.runs(b) && n.arrives(b, a)
}

func (n *Net) fetch(node, from *Node) {
	if !n.roundTrip(node, from) {
		n.after(callTimeout, func() { node.inbox = append(node.inbox, membership.NewFetchEnded(false)) })
		return
	}
	n.after(2*latency, func() {
		for service, g := range from.Docs {
			n.adopt(node, service, g)
		}
		node.inbox = append(node.inbox, membership.NewFetchEnded(true))
	})
}
