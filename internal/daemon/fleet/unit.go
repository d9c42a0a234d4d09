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
	// hash names the unit in messages.
	hash     uint64
	service  *service
	pipeline table.Pipeline
	slots    int
	interval time.Duration

	owner      table.HostID
	ownedSince time.Time
	division   *division

	// What this host does with the unit as one of its users.
	used bool
	// unanswered is when the first report was sent that the owner has not answered since.
	unanswered time.Time
	lost       bool
	applied    uint64
	grantOwner table.HostID
	held       int
	heldUntil  time.Time
	position   position
}

// position is how far the cache events of an endpoint were read.
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
		u.own(now)
	}
	// The new owner gets the same time to answer as the last one had.
	u.unanswered = time.Time{}
}

// own starts the ownership of this host anew.
func (u *unit) own(now time.Time) {
	u.ownedSince = now
	u.division = newDivision(u.id)
}

// asks reports whether this host asks the owner for the unit.
func (u *unit) asks() bool { return u.used && u.owner != "" }

// polls reports whether this host reads the stages: as the owner, or as a user whose owner is silent.
func (u *unit) polls(now time.Time) bool {
	if u.service.plain {
		return false
	}
	return u.owned() || (u.used && !u.unanswered.IsZero() && now.Sub(u.unanswered) > ownerSilent)
}

// hostDemand is what one host wants of a unit.
type hostDemand struct {
	rows  []share.Demand
	at    time.Time
	given int
	// sequence is that of the last grant sent to the host.
	sequence uint64
}

// division is the owner's side of a unit.
type division struct {
	ledger   *share.Ledger
	hosts    map[table.HostID]*hostDemand
	grants   map[table.HostID]int
	divided  time.Time
	dirty    bool
	sequence uint64
}

func newDivision(id string) *division {
	return &division{
		ledger: share.NewLedger(share.LedgerConfig{Pipeline: id}),
		hosts:  map[table.HostID]*hostDemand{}, grants: map[table.HostID]int{},
	}
}

// divideEvery bounds the divisions of one unit: 44 hosts that report once a second share three of them.
const divideEvery = 300 * time.Millisecond

// report takes in what a host wants and returns its grant, or false while a new owner collects reports.
func (u *unit) report(now time.Time, host table.HostID, rows []share.Demand, applied uint64, held int, heldFor time.Duration) (slots int, sequence uint64, ok bool) {
	d := u.division
	h := d.hosts[host]
	if h == nil {
		h = &hostDemand{}
		d.hosts[host] = h
		d.dirty = true
		if held > 0 {
			d.ledger.RecordGrant(host, held, now.Add(min(heldFor, lifetime)))
		}
	}
	h.rows, h.at = rows, now
	if now.Sub(u.ownedSince) < settle {
		return 0, 0, false
	}
	if h.sequence != 0 && applied == h.sequence && h.given <= d.grants[host] {
		d.ledger.Confirm(host)
	}
	if d.dirty || now.Sub(d.divided) >= divideEvery {
		u.divide(now)
	}
	// The clock keeps the sequence rising when this host loses the unit, or restarts, and gets it back.
	d.sequence = max(d.sequence+1, uint64(now.UnixMilli()))
	h.sequence, h.given = d.sequence, d.grants[host]
	return h.given, h.sequence, true
}

func (u *unit) divide(now time.Time) {
	d := u.division
	d.dirty, d.divided = false, now
	var demands []share.Demand
	for id, h := range d.hosts {
		if now.Sub(h.at) > lifetime {
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
