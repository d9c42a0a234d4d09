package members

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/document"
	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/table"
	"waxwingplank/internal/daemon/documents"
	"waxwingplank/internal/peer/hostpb"
)

// adopt puts a document in force on this host if it is newer than the current one.
func (m *Members) adopt(d document.Document, source string) {
	m.adoptMu.Lock()
	defer m.adoptMu.Unlock()
	m.mu.Lock()
	old, had := m.store.Get(d.Service())
	ok := m.store.Adopt(d)
	m.mu.Unlock()
	if !ok {
		return
	}
	log := m.cfg.Log.WithFields(fields{"service": d.Service(), "generation": d.Generation(), "source": source})
	if had {
		log = log.WithField("changes", document.Diff(old, d))
	}
	log.Info("document adopted")
	for _, f := range m.listeners {
		f(d)
	}
	m.post(membership.NewDocumentAdopted(string(d.Service()), d.Generation()))
}

// AdoptWritten adopts a document that this host has written to the platform for an operator. The change
// then spreads even if the platform becomes unavailable before any watch returns it.
func (m *Members) AdoptWritten(d document.Document) { m.adopt(d, "operator") }

// FetchDocuments returns the documents that the requesting host is missing, as many as fit into one reply.
func (m *Members) FetchDocuments(_ context.Context, in *hostpb.FetchDocumentsRequest) (*hostpb.FetchDocumentsReply, error) {
	out := &hostpb.FetchDocumentsReply{}
	size := 0
	for _, d := range m.Documents() {
		if g, ok := in.GetHave()[string(d.Service())]; ok && g >= d.Generation() {
			continue
		}
		value, err := d.Canonical()
		if err != nil {
			return nil, err
		}
		if size += len(value); size > maxFetchBytes && len(out.GetDocuments()) > 0 {
			break
		}
		out.Documents = append(out.Documents, &hostpb.Document{
			Service: string(d.Service()), Generation: d.Generation(), Value: value,
		})
	}
	return out, nil
}

// fetchDocuments requests documents from a peer until a reply contains nothing new.
func (m *Members) fetchDocuments(d membership.FetchDocuments) {
	err := m.fetchAll(d)
	if err != nil {
		m.cfg.Log.WithError(err).WithField("host", d.From()).Warn("fetching documents failed")
	}
	m.post(membership.NewFetchEnded(err == nil))
}

func (m *Members) fetchAll(d membership.FetchDocuments) error {
	for {
		m.mu.Lock()
		have := m.store.Generations()
		m.mu.Unlock()
		reply, err := m.cfg.Peers.FetchDocuments(m.ctx, d.Address(), &hostpb.FetchDocumentsRequest{Have: have})
		if err != nil {
			return err
		}
		fresh := false
		for _, w := range reply.GetDocuments() {
			doc, err := document.Parse(w.GetValue())
			if err != nil {
				return eris.Wrapf(err, "members: parse document %s from %s", w.GetService(), d.From())
			}
			g, ok := have[string(doc.Service())]
			fresh = fresh || !ok || doc.Generation() > g
			m.adopt(doc, "peer "+string(d.From()))
		}
		if !fresh {
			return nil
		}
	}
}

// watchDocuments watches the platform's documents while this host has that role in its failure domain.
func (m *Members) watchDocuments() {
	// after is the version to watch from. It is negative if a listing is due.
	after := int64(-1)
	var listed time.Time
	for m.ctx.Err() == nil {
		if !m.watchesDocuments() {
			after = -1
			m.sleep(roleCheckInterval)
			continue
		}
		var err error
		if after < 0 || time.Since(listed) > listInterval {
			listed = time.Now()
			after, err = m.listDocuments()
		} else {
			after, err = m.watchOnce(after)
		}
		if err != nil {
			m.cfg.Log.WithError(err).Warn("reading documents from the object API failed; keeping the documents in force")
			after = -1
			m.sleep(retryInterval)
		}
	}
}

func (m *Members) watchesDocuments() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.system.WatchesDocuments()
}

func (m *Members) watchOnce(after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, watchTimeout)
	defer cancel()
	snapshot, err := m.cfg.Objects.Watch(ctx, documents.KindServices, after, watchWait)
	if err != nil {
		return 0, err
	}
	reverted := false
	for _, o := range snapshot.Objects {
		reverted = m.adoptObject(o) || reverted
	}
	if snapshot.Reset || snapshot.Version < after || reverted {
		// The platform was restored to an older state, so its documents must be listed again. The delay
		// prevents a tight loop of listings if the store resets every watch.
		m.sleep(roleCheckInterval)
		return -1, nil
	}
	return snapshot.Version, nil
}

// adoptObject adopts the document of an object. It reports whether the object is deleted or older than
// the document in force.
func (m *Members) adoptObject(o documents.Object) (reverted bool) {
	if o.Deleted {
		return true
	}
	d, err := document.Parse(o.Value)
	if err != nil {
		m.cfg.Log.WithError(err).WithField("service", o.Name).Error("stored document is invalid; keeping the document in force")
		return false
	}
	m.adopt(d, "object API")
	m.mu.Lock()
	defer m.mu.Unlock()
	current, ok := m.store.Get(d.Service())
	return ok && current.Generation() > d.Generation()
}

// listDocuments reads all documents and writes back those that the platform has lost.
func (m *Members) listDocuments() (int64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, watchTimeout)
	defer cancel()
	snapshot, err := m.cfg.Objects.List(ctx, documents.KindServices)
	if err != nil {
		return 0, err
	}
	listed := map[string]uint64{}
	versions := map[string]int64{}
	for _, o := range snapshot.Objects {
		if o.Deleted {
			continue
		}
		versions[o.Name] = o.Version
		m.adoptObject(o)
		if d, err := document.Parse(o.Value); err == nil {
			listed[o.Name] = d.Generation()
		}
	}
	m.mu.Lock()
	lost := m.store.Reverted(listed)
	m.mu.Unlock()
	for _, d := range lost {
		if err := m.writeBack(d, versions[string(d.Service())]); err != nil {
			return 0, err
		}
	}
	return snapshot.Version, nil
}

// writeBack stores a document that the platform has lost. The version is that of the object with the older
// document, or zero if there is no object. If another host has written first, the watch returns its write.
func (m *Members) writeBack(d document.Document, version int64) error {
	value, err := d.Canonical()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(m.ctx, writeTimeout)
	defer cancel()
	o := documents.Object{Kind: documents.KindServices, Name: string(d.Service()), Version: version, Value: value}
	_, err = m.cfg.Objects.Put(ctx, o)
	if errors.Is(err, documents.ErrConflict) {
		return nil
	}
	if err != nil {
		return eris.Wrapf(err, "members: write back document %s", d.Service())
	}
	m.cfg.Log.WithFields(fields{"service": d.Service(), "generation": d.Generation()}).
		Warn("platform returned an older document; the document in force was written back")
	return nil
}

// Status is the value of the object status/NAME.
type Status struct {
	Service string `json:"service"`
	// InForce is the minimum generation adopted by all reachable hosts.
	InForce uint64 `json:"in_force"`
	Newest  uint64 `json:"newest"`
	// NotInForce lists the hosts that have not adopted the newest generation, including unreachable ones.
	NotInForce []table.HostID `json:"not_in_force"`
	WrittenBy  table.HostID   `json:"written_by"`
}

// writeStatus periodically writes the status of the documents for which this host is the reporter.
func (m *Members) writeStatus() {
	for m.ctx.Err() == nil {
		m.sleep(statusInterval)
		for _, d := range m.takePendingStatus() {
			if err := m.writeOneStatus(d); err != nil {
				m.cfg.Log.WithError(err).WithField("service", d.Service()).Warn("status write failed; will retry")
				m.requeueStatus(d)
			}
		}
	}
}

// takePendingStatus removes and returns the changes that this host must write. Hosts that are not the
// reporter keep their changes, because they may become the reporter before these are written.
func (m *Members) takePendingStatus() []membership.InForceChanged {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []membership.InForceChanged
	for service, d := range m.pendingStatus {
		if m.system.IsRelay() && m.system.StatusReporter(service) == m.cfg.Self.ID {
			out = append(out, d)
			delete(m.pendingStatus, service)
		}
	}
	return out
}

// requeueStatus restores a change that could not be written, unless a newer one is pending.
func (m *Members) requeueStatus(d membership.InForceChanged) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, newer := m.pendingStatus[d.Service()]; !newer {
		m.pendingStatus[d.Service()] = d
	}
}

func (m *Members) writeOneStatus(d membership.InForceChanged) error {
	ctx, cancel := context.WithTimeout(m.ctx, writeTimeout)
	defer cancel()
	behind := d.Behind()
	if behind == nil {
		behind = []table.HostID{}
	}
	value, err := json.Marshal(Status{
		Service: d.Service(), InForce: d.Generation(), Newest: d.Newest(), NotInForce: behind, WrittenBy: m.cfg.Self.ID,
	})
	if err != nil {
		return eris.Wrapf(err, "members: encode status of %s", d.Service())
	}
	old, err := m.cfg.Objects.Get(ctx, documents.KindStatus, d.Service())
	if err != nil && !errors.Is(err, documents.ErrNotFound) {
		return err
	}
	_, err = m.cfg.Objects.Put(ctx, documents.Object{Kind: documents.KindStatus, Name: d.Service(), Version: old.Version, Value: value})
	return err
}

func (m *Members) readHostList() {
	for m.ctx.Err() == nil {
		m.mu.Lock()
		reads := m.system.ReadsHostList()
		m.mu.Unlock()
		if !reads {
			m.sleep(roleCheckInterval)
			continue
		}
		ctx, cancel := context.WithTimeout(m.ctx, hostListTimeout)
		hosts, err := m.cfg.HostList.List(ctx)
		cancel()
		if err != nil {
			m.cfg.Log.WithError(err).Warn("reading the host list failed; keeping the last known hosts")
		} else {
			m.post(membership.NewHostListRead(hosts))
		}
		m.sleep(hostListInterval)
	}
}

func (m *Members) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.ctx.Done():
	}
}
