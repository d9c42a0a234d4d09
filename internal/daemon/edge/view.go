package edge

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/core/roster"
	"waxwingplank/internal/daemon/follow"
	"waxwingplank/internal/peer/exchange"
)

const (
	// unconfirmedAge is the age of a peer's configuration or list of endpoints from which newer ones are sent to it,
	// unless it follows this host. Until then the peer's own watch delivers the changes.
	unconfirmedAge = 1500 * time.Millisecond
	// maxReportedAge bounds the ages that hosts report to each other.
	maxReportedAge = time.Hour
	// maxRemovals is the number of removed endpoints that are remembered for hosts with an older list. A host whose
	// list is older still gets a complete one.
	maxRemovals = 2000
	// maxLoggedEntries is the number of entries left out of a list of which each is logged, once as long as it is left out.
	maxLoggedEntries = 20
	// staleStartWait is how long a host that has just started ignores a peer's data that the store has not confirmed
	// lately. Such data may contain removed endpoints and keys; within this time the store or a hub may provide newer.
	staleStartWait = 2 * time.Second
)

// view holds the configuration and the endpoints, received from the store or from peers.
type view struct {
	platform Platform
	log      logrus.FieldLogger
	// onTable and onEndpoints are called with each new table and list. They run one at a time.
	onTable     func(*deployment.Table)
	onEndpoints func([]deployment.Endpoint)
	startTime   time.Time
	// trustedAge is the age up to which a host that has just started takes a peer's data at once.
	trustedAge time.Duration

	mu    sync.Mutex
	table *deployment.Table
	// packedConfig is the configuration as it is sent to peers.
	packedConfig    []byte
	configConfirmed time.Time
	// objects are the entries of the endpoints at revision, decoded those of them that could be decoded, and endpoints those that
	// can be used with the configuration in force.
	objects  map[string]follow.Object
	listed   bool
	revision int64
	digest   uint64
	// differs is set if a peer has another list at the same revision, so that this host needs a complete one.
	differs   bool
	decoded   []deployment.Endpoint
	endpoints []deployment.Endpoint
	// leftOut holds the versions of the entries that are left out, by name.
	leftOut map[string]int64
	// removals holds the revisions at which entries were found to be removed. Removals at or before removalsFrom
	// are not known completely.
	removals     map[string]int64
	removalsFrom int64
	// confirmed is when the store, or a peer that reads it, last confirmed the endpoints. storeConfirmed is when the
	// store itself did.
	confirmed      time.Time
	storeConfirmed time.Time
}

// configChanged handles a response of the store on the objects of the configuration's kind.
func (v *view) configChanged(s follow.State) {
	if s.Changed {
		for _, o := range s.Objects {
			if o.Name == v.platform.ConfigName() {
				v.setConfig(o.Value, "store")
			}
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.configConfirmed = later(v.configConfirmed, s.Confirmed)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// setPackedConfig applies a configuration of a peer unless a later one is in force.
func (v *view) setPackedConfig(packed []byte) {
	value, err := exchange.Unpack(packed)
	if err != nil {
		v.log.WithError(err).Error("peer's configuration not read")
		return
	}
	v.setConfig(value, "peer")
}

// setConfig applies a configuration unless a later one is in force.
func (v *view) setConfig(value json.RawMessage, source string) {
	c, err := v.platform.DecodeConfig(value)
	if err != nil {
		v.log.WithError(err).WithField("source", source).Error("configuration not read")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && c.Version <= v.table.Version() {
		return
	}
	before := v.table
	packed, err := exchange.Pack(value)
	if err != nil {
		v.log.WithError(err).Error("configuration not packed for peers")
	}
	v.table, v.packedConfig = deployment.NewTable(c), packed
	v.log.WithFields(logrus.Fields{
		"version": c.Version, "source": source, "routes": len(c.Routes), "workspaces": len(c.Workspaces),
	}).Info("configuration in force")
	if before != nil {
		// Neither the configuration before nor the new one may get an endpoint that can't be used with it.
		v.publish(usable(before, v.endpoints, v.table))
	}
	v.onTable(v.table)
	if v.listed {
		v.publish(usable(v.table, v.decoded))
	}
}

// usable returns the endpoints that can be used with a configuration and with each of the others.
func usable(t *deployment.Table, list []deployment.Endpoint, others ...*deployment.Table) []deployment.Endpoint {
	out := make([]deployment.Endpoint, 0, len(list))
	for _, e := range list {
		ok := t.CheckEndpoint(e) == nil
		for _, other := range others {
			ok = ok && other.CheckEndpoint(e) == nil
		}
		if ok {
			out = append(out, e)
		}
	}
	return out
}

// publish replaces the endpoints in use.
func (v *view) publish(list []deployment.Endpoint) {
	if slices.Equal(list, v.endpoints) {
		return
	}
	v.endpoints = list
	v.onEndpoints(list)
}

// endpointsChanged handles a response of the store on the endpoints' entries.
func (v *view) endpointsChanged(s follow.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listed && s.Revision < v.revision {
		// A long list of changes arrives in parts, and peers may have provided a later revision already.
		return
	}
	v.confirmed, v.storeConfirmed = later(v.confirmed, s.Confirmed), later(v.storeConfirmed, s.Confirmed)
	if !s.Changed && v.listed {
		v.revision = s.Revision
		return
	}
	objects := make(map[string]follow.Object, len(s.Objects))
	for _, o := range s.Objects {
		objects[o.Name] = o
	}
	v.setEndpoints(objects, s.Revision, "store")
}

// receive handles the configuration and the endpoints in a peer's response to a report sent at the given time.
func (v *view) receive(from *exchange.State, sent time.Time) {
	configConfirmed := sent.Add(-roster.Age(from.ConfigAgeMs))
	if len(from.Config) > 0 && (v.hasConfig() || v.trusts(sent, from.ConfigAgeMs)) {
		v.setPackedConfig(from.Config)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && v.table.Version() == from.ConfigVersion {
		v.configConfirmed = later(v.configConfirmed, configConfirmed)
	}
	if from.Endpoints != nil && (v.listed || v.trusts(sent, from.EndpointsAgeMs)) {
		v.applySnapshot(from.Endpoints)
	}
	if !v.listed || v.revision != from.EndpointsRevision {
		return
	}
	v.differs = v.digest != from.EndpointsDigest
	if !v.differs {
		v.confirmed = later(v.confirmed, sent.Add(-roster.Age(from.EndpointsAgeMs)))
	}
}

// receiveReport handles the configuration and the endpoints in a peer's report. The report may have been on its way for long,
// so its ages confirm nothing, and a host that has just started waits for a response.
func (v *view) receiveReport(from *exchange.State) {
	if len(from.Config) > 0 && v.hasConfig() {
		v.setPackedConfig(from.Config)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if from.Endpoints != nil && v.listed {
		v.applySnapshot(from.Endpoints)
	}
}

// trusts reports whether a host without data takes a peer's data of this age.
func (v *view) trusts(now time.Time, ageMs int64) bool {
	return roster.Age(ageMs) <= v.trustedAge || now.Sub(v.startTime) > staleStartWait
}

// applySnapshot applies a peer's list, or the changes to an older one, unless this host's is of a later revision.
func (v *view) applySnapshot(s *exchange.Snapshot) {
	if v.listed && s.Revision < v.revision || s.Since > 0 && (!v.listed || v.revision < s.Since) {
		return
	}
	objects := map[string]follow.Object{}
	if s.Since > 0 {
		objects = maps.Clone(v.objects)
	}
	changed := s.Since == 0
	for _, name := range s.Removed {
		if _, ok := objects[name]; ok {
			delete(objects, name)
			changed = true
		}
	}
	for _, raw := range s.Objects {
		var o follow.Object
		if err := json.Unmarshal(raw, &o); err != nil {
			v.log.WithError(err).Error("peer's endpoint entry not read")
			continue
		}
		if old, ok := objects[o.Name]; !ok || o.Version > old.Version {
			objects[o.Name] = o
			changed = true
		}
	}
	if !changed {
		v.revision = s.Revision
		return
	}
	v.setEndpoints(objects, s.Revision, "peer")
}

func (v *view) setEndpoints(objects map[string]follow.Object, revision int64, source string) {
	before := map[string]deployment.Endpoint{}
	for _, e := range v.endpoints {
		before[e.ID] = e
	}
	v.recordRemovals(objects, revision)
	v.objects, v.revision, v.digest, v.listed, v.decoded = objects, revision, digestOf(objects), true, nil
	table := v.table
	if table == nil {
		table = deployment.NewTable(deployment.Config{})
	}
	v.endpoints = nil
	leftOut := map[string]int64{}
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		o := objects[name]
		e, err := v.platform.DecodeEndpoint(o.Name, o.Value)
		if err == nil {
			v.decoded = append(v.decoded, e)
			err = table.CheckEndpoint(e)
		}
		if err != nil {
			leftOut[o.Name] = o.Version
			if _, known := v.leftOut[o.Name]; !known && len(leftOut) <= maxLoggedEntries {
				v.log.WithError(err).WithField("endpoint", o.Name).Warn("endpoint's entry left out")
			}
			continue
		}
		v.endpoints = append(v.endpoints, e)
		old, existed := before[e.ID]
		delete(before, e.ID)
		if !existed || old != e {
			v.log.WithFields(logrus.Fields{
				"endpoint": e.ID, "address": e.Address, "state": string(e.State), "source": source,
				"revision": revision, "layers": e.Layers,
			}).Info("endpoint changed")
		}
	}
	v.leftOut = leftOut
	for id := range before {
		v.log.WithFields(logrus.Fields{"endpoint": id, "source": source, "revision": revision}).Info("endpoint removed")
	}
	v.onEndpoints(v.endpoints)
}

// digestOf returns a digest of the names and versions of objects.
func digestOf(objects map[string]follow.Object) uint64 {
	var sum uint64
	for name, o := range objects {
		sum ^= xxhash.Sum64String(name + "@" + strconv.FormatInt(o.Version, 10))
	}
	return sum
}

// recordRemovals records which entries are missing from a new list.
func (v *view) recordRemovals(objects map[string]follow.Object, revision int64) {
	if !v.listed || len(v.removals) >= maxRemovals {
		v.removals, v.removalsFrom = map[string]int64{}, revision
	}
	for name := range v.objects {
		if _, ok := objects[name]; !ok {
			v.removals[name] = revision
		}
	}
	for name := range objects {
		delete(v.removals, name)
	}
}

// current returns the table and the endpoints, which must not be changed.
func (v *view) current() (*deployment.Table, []deployment.Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.endpoints
}

func (v *view) hasConfig() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil
}

// loaded reports whether the configuration and the endpoints are loaded, so that the host can serve callers.
func (v *view) loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil && v.listed
}

// configAge and endpointsAge return the times since the store confirmed the data, to this host or to a peer, and
// storeAge that since it confirmed the endpoints to this host.
func (v *view) configAge(now time.Time) time.Duration    { return v.age(now, &v.configConfirmed) }
func (v *view) endpointsAge(now time.Time) time.Duration { return v.age(now, &v.confirmed) }
func (v *view) storeAge(now time.Time) time.Duration     { return v.age(now, &v.storeConfirmed) }

func (v *view) age(now time.Time, confirmed *time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return min(max(now.Sub(*confirmed), 0), maxReportedAge)
}

// fillState fills in the versions of the configuration and the endpoints.
func (v *view) fillState(s *exchange.State, now time.Time) {
	s.ConfigAgeMs = v.configAge(now).Milliseconds()
	s.EndpointsAgeMs = v.endpointsAge(now).Milliseconds()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil {
		s.ConfigVersion = v.table.Version()
	}
	if v.listed && (!v.differs || !s.Follows) {
		s.EndpointsRevision, s.EndpointsDigest = v.revision, v.digest
	}
}

// newerFor returns the configuration and the changes of endpoints that a peer does not have, or nil. The peer gets them if it
// follows other hosts, or if the store has not confirmed its own for unconfirmedAge.
func (v *view) newerFor(peer *exchange.State) *exchange.Newer {
	v.mu.Lock()
	defer v.mu.Unlock()
	unconfirmed := func(ageMs int64) bool { return peer.Follows || ageMs > unconfirmedAge.Milliseconds() }
	var out exchange.Newer
	if v.table != nil && peer.ConfigVersion < v.table.Version() && unconfirmed(peer.ConfigAgeMs) {
		out.Config = v.packedConfig
	}
	if v.listed && peer.EndpointsRevision <= v.revision && (unconfirmed(peer.EndpointsAgeMs) || peer.WantNewer) {
		out.Endpoints = v.snapshotSince(peer.EndpointsRevision)
	}
	if out.Config == nil && out.Endpoints == nil {
		return nil
	}
	return &out
}

// snapshotSince returns the changes after a revision, the complete list if they are not known, or nil if there are
// none. Entries that lapsed during an outage of the store are removed without a new revision, so removals at the
// revision itself are included.
func (v *view) snapshotSince(revision int64) *exchange.Snapshot {
	s := &exchange.Snapshot{Revision: v.revision, Since: revision}
	if revision <= 0 || revision < v.removalsFrom {
		s.Since = 0
	}
	for _, name := range slices.Sorted(maps.Keys(v.objects)) {
		o := v.objects[name]
		if o.Version <= s.Since {
			continue
		}
		raw, err := json.Marshal(o)
		if err != nil {
			v.log.WithError(err).WithField("endpoint", o.Name).Error("endpoint's entry not encoded for peers")
			continue
		}
		s.Objects = append(s.Objects, raw)
	}
	if s.Since == 0 {
		return s
	}
	for name, at := range v.removals {
		if at >= s.Since {
			s.Removed = append(s.Removed, name)
		}
	}
	if s.Revision == s.Since && len(s.Removed) == 0 && len(s.Objects) == 0 {
		return nil
	}
	return s
}
