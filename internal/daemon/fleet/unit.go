package fleet

import (
	"time"

	"waxwingplank/internal/core/membership"
	"waxwingplank/internal/core/share"
	"waxwingplank/internal/core/table"
)

// unit is one pipeline of a service, or one endpoint of a plain service.
type unit struct {
	id string
	// hash identifies the unit in messages between hosts.
	hash     uint64
	service  *service
	pipeline table.Pipeline
	slots    int
	interval time.Duration

	owner      table.HostID
	ownedSince time.Time
	division   *division

	// The fields below hold the state of this host as a user of the unit.
	used bool
	// unansweredSince is when the first report since the owner's last reply was sent, or zero.
	unansweredSince time.Time
	lost            bool
	applied         uint64
	grantOwner      table.HostID
	held            int
	heldUntil       time.Time
	position        position
}

// position identifies the last cache event of an endpoint that was read.
type position struct {
	incarnation uint64
	sequence    uint64
}

func (u *unit) owned() bool { return u.owner == u.service.fleet.cfg.Self }

// assign recomputes the owner.
func (u *unit) assign(now time.Time, live []table.HostID) {
	owner := membership.EndpointOwner(table.EndpointID(u.id), live)
	if owner == u.owner {
		return
	}
	u.owner = owner
	u.division = nil
	if u.owned() {
		u.startOwnership(now)
	}
	// The new owner gets the full time to respond.
	u.unansweredSince = time.Time{}
}

// startOwnership starts or restarts the ownership by this host.
func (u *unit) startOwnership(now time.Time) {
	u.ownedSince = now
	u.division = newDivision(u.id)
}

// needsReport reports whether this host sends demand reports for the unit to its owner.
func (u *unit) needsReport() bool { return u.used && u.owner != "" }

// polls reports whether this host reads the stages: as the owner, or as a user whose owner is unresponsive.
func (u *unit) polls(now time.Time) bool {
	if u.service.plain {
		return false
	}
	return u.owned() || (u.used && !u.unansweredSince.IsZero() && now.Sub(u.unansweredSince) > ownerTimeout)
}

// hostDemand is the demand of one host for a unit.
type hostDemand struct {
	rows       []share.Demand
	receivedAt time.Time
	granted    int
	// sequence is the sequence number of the last grant sent to the host.
	sequence uint64
}

// division is the owner's state of a unit.
type division struct {
	ledger    *share.Ledger
	hosts     map[table.HostID]*hostDemand
	grants    map[table.HostID]int
	dividedAt time.Time
	dirty     bool
	sequence  uint64
}

func newDivision(id string) *division {
	return &division{
		ledger: share.NewLedger(share.LedgerConfig{Pipeline: id}),
		hosts:  map[table.HostID]*hostDemand{}, grants: map[table.HostID]int{},
	}
}

// divideInterval bounds how often the slots of a unit are divided. 44 hosts that report once a second share
// about three divisions a second.
const divideInterval = 300 * time.Millisecond

// handleDemand records the demand of a host and returns its grant, or false while a new owner collects
// reports.
func (u *unit) handleDemand(now time.Time, host table.HostID, rows []share.Demand, applied uint64, held int, heldFor time.Duration) (slots int, sequence uint64, ok bool) {
	d := u.division
	h := d.hosts[host]
	if h == nil {
		h = &hostDemand{}
		d.hosts[host] = h
		d.dirty = true
		if held > 0 {
			d.ledger.RecordGrant(host, held, now.Add(min(heldFor, grantLifetime)))
		}
	}
	h.rows, h.receivedAt = rows, now
	if now.Sub(u.ownedSince) < collectPeriod {
		return 0, 0, false
	}
	if h.sequence != 0 && applied == h.sequence && h.granted <= d.grants[host] {
		d.ledger.Confirm(host)
	}
	if d.dirty || now.Sub(d.dividedAt) >= divideInterval {
		u.divide(now)
	}
	// The clock keeps the sequence rising when this host loses the unit, or restarts, and owns it again.
	d.sequence = max(d.sequence+1, uint64(now.UnixMilli()))
	h.sequence, h.granted = d.sequence, d.grants[host]
	return h.granted, h.sequence, true
}

func (u *unit) divide(now time.Time) {
	d := u.division
	d.dirty, d.dividedAt = false, now
	var demands []share.Demand
	for id, h := range d.hosts {
		if now.Sub(h.receivedAt) > grantLifetime {
			delete(d.hosts, id)
			continue
		}
		demands = append(demands, h.rows...)
	}
	clear(d.grants)
	for _, g := range d.ledger.Update(now, u.slots, demands) {
		d.grants[g.Host()] = g.Slots()
	}
}
