package edge

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/daemon/follow"
	"waxwingplank/internal/peer/exchange"
)

// unconfirmedAge is the age of a peer's list of endpoints from which a newer one is sent to it. Until then the
// peer's own watch delivers the changes.
const unconfirmedAge = 1500 * time.Millisecond

// view holds the configuration and the endpoints, received from the store or from peers.
type view struct {
	platform Platform
	log      logrus.FieldLogger
	// onTable and onEndpoints are called with each new table and list. They run one at a time.
	onTable     func(*deployment.Table)
	onEndpoints func([]deployment.Endpoint)

	mu        sync.Mutex
	table     *deployment.Table
	config    json.RawMessage
	snapshot  *exchange.Snapshot
	endpoints []deployment.Endpoint
	undecoded map[string]int64
	// confirmed is when the store, or a peer that reads it, last confirmed the endpoints.
	confirmed time.Time
}

// configChanged handles a change of the objects of the configuration's kind.
func (v *view) configChanged(s follow.State) {
	if !s.Changed {
		return
	}
	for _, o := range s.Objects {
		if o.Name == v.platform.ConfigName() {
			v.setConfig(o.Value, "store")
		}
	}
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
	v.table, v.config = deployment.NewTable(c), value
	v.log.WithFields(logrus.Fields{
		"version": c.Version, "source": source, "routes": len(c.Routes), "workspaces": len(c.Workspaces),
	}).Info("configuration in force")
	v.onTable(v.table)
}

// endpointsChanged handles the endpoints' entries from the store.
func (v *view) endpointsChanged(s follow.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Confirmed.After(v.confirmed) {
		v.confirmed = s.Confirmed
	}
	if !s.Changed && v.snapshot != nil {
		return
	}
	snapshot := &exchange.Snapshot{Revision: s.Revision}
	for _, o := range s.Objects {
		raw, err := json.Marshal(o)
		if err != nil {
			v.log.WithError(err).WithField("endpoint", o.Name).Error("endpoint's entry not encoded for peers")
			continue
		}
		snapshot.Objects = append(snapshot.Objects, raw)
	}
	v.setEndpoints(snapshot, s.Objects, "store")
}

// peerEndpoints applies a peer's list if it was confirmed later than this host's and is not of an earlier revision.
// This is the case while the store does not respond to this host.
func (v *view) peerEndpoints(s *exchange.Snapshot, confirmed time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !confirmed.After(v.confirmed) || (v.snapshot != nil && s.Revision < v.snapshot.Revision) {
		return
	}
	objects := make([]follow.Object, 0, len(s.Objects))
	for _, raw := range s.Objects {
		var o follow.Object
		if err := json.Unmarshal(raw, &o); err != nil {
			v.log.WithError(err).Error("peer's endpoint entry not read")
			continue
		}
		objects = append(objects, o)
	}
	v.confirmed = confirmed
	v.setEndpoints(s, objects, "peer")
}

func (v *view) setEndpoints(snapshot *exchange.Snapshot, objects []follow.Object, source string) {
	before := make(map[string]deployment.Endpoint, len(v.endpoints))
	for _, e := range v.endpoints {
		before[e.ID] = e
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	v.snapshot, v.endpoints = snapshot, nil
	undecoded := map[string]int64{}
	for _, o := range objects {
		e, err := v.platform.DecodeEndpoint(o.Name, o.Value)
		if err != nil {
			undecoded[o.Name] = o.Version
			if v.undecoded[o.Name] != o.Version {
				v.log.WithError(err).Warn("endpoint's entry not read")
			}
			continue
		}
		v.endpoints = append(v.endpoints, e)
		old, existed := before[e.ID]
		delete(before, e.ID)
		if !existed || old != e {
			v.log.WithFields(logrus.Fields{
				"endpoint": e.ID, "address": e.Address, "state": string(e.State), "source": source,
				"revision": snapshot.Revision, "layers": e.Layers,
			}).Info("endpoint changed")
		}
	}
	v.undecoded = undecoded
	for id := range before {
		v.log.WithFields(logrus.Fields{"endpoint": id, "source": source, "revision": snapshot.Revision}).Info("endpoint removed")
	}
	v.onEndpoints(v.endpoints)
}

// current returns the table and the endpoints, which must not be changed.
func (v *view) current() (*deployment.Table, []deployment.Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table, v.endpoints
}

// loaded reports whether the configuration and the endpoints are loaded, so that the host can serve callers.
func (v *view) loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table != nil && v.snapshot != nil
}

// fillState fills in the versions of the configuration and the endpoints.
func (v *view) fillState(s *exchange.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil {
		s.ConfigVersion = v.table.Version()
	}
	if v.snapshot != nil {
		s.EndpointsRevision = v.snapshot.Revision
	}
	s.StoreAgeMs = now.Sub(v.confirmed).Milliseconds()
}

// addNewer adds the configuration to the response if the peer's is older. It adds the endpoints if the peer's list
// has been unconfirmed for unconfirmedAge, is older or should be replaced, and this host's was confirmed later.
func (v *view) addNewer(to *exchange.State, from *exchange.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.table != nil && from.ConfigVersion < v.table.Version() {
		to.Config = v.config
	}
	newer := v.snapshot != nil && (from.WantNewer || from.EndpointsRevision < v.snapshot.Revision) && from.StoreAgeMs > unconfirmedAge.Milliseconds()
	if newer && now.Sub(v.confirmed).Milliseconds() < from.StoreAgeMs {
		to.Endpoints = v.snapshot
	}
}
