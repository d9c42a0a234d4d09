package membership

import (
	"time"

	"github.com/rotisserie/eris"
)

// The times of the protocol between hosts. The page sets 500 ms, 1.5 s and 2 s.
const (
	// HeartbeatEvery is the period of heartbeats to relays and between them.
	HeartbeatEvery = 500 * time.Millisecond
	// SuspectAfter is the silence after which a host is suspect: three missed heartbeats.
	SuspectAfter = 1500 * time.Millisecond
	// deadAfter leaves one tick of 50 ms and one message below the bound of 2 s.
	deadAfter = 1900 * time.Millisecond
	// unconfirmedAfter is the silence after which a host that no other host could confirm as dead
	// counts as unreachable: the fault may be on this side.
	unconfirmedAfter = 3 * time.Second
	// ProbeTimeout bounds a prober's own call, so that its answer comes before deadAfter.
	ProbeTimeout = 250 * time.Millisecond
	// askEvery is the period of further probes of a suspect.
	askEvery = 250 * time.Millisecond
	// cutAfter is the silence of all hosts of a failure domain after which it is unreachable.
	cutAfter = 2 * time.Second
	// retryAfter is the time from a lost heartbeat to its repetition: the deadline of the call.
	retryAfter = 400 * time.Millisecond
	// callLost ends a call that was neither answered nor reported as failed.
	callLost = 2 * time.Second
	// recheckEvery is the period of probes of a host that no longer answers heartbeats.
	recheckEvery = 2 * time.Second
	// loadEvery and loadStepPermille bound the changes of load that are passed on: at 410 hosts
	// one change each 5 s of 25 bytes from two relays costs 4 KB/s. Address answers live 5 s too.
	loadEvery        = 5 * time.Second
	loadStepPermille = 50
	// loadsAcross is the number of hosts up to which loads pass between failure domains. At 410 hosts
	// they made a relay pass on 80 KB/s, three times its bound; callers are sent to their own domain first.
	loadsAcross = 128
	// fullEvery is the number of heartbeats after which a host sends its whole record again.
	fullEvery = 10
	// AddressLifetime is how long a caller may keep an address answer.
	AddressLifetime = 5 * time.Second
	// forgetAfter is how long a dead host is remembered, so that a region returning after hours
	// cannot bring it back; at 109 deaths and restarts a day this keeps 10 rows.
	forgetAfter = 2 * time.Hour
	// fetchLost ends a fetch of documents that was not reported as ended.
	fetchLost = 10 * time.Second
	// relaysPerDomain is two, so that one death leaves a relay that hears every host.
	relaysPerDomain = 2
)

// Config describes a System.
type Config struct {
	Self Host
	// Incarnation must be higher than in any earlier run of this host: the start time in milliseconds.
	Incarnation uint64
	// Known are hosts from settings, for a start while the host list is down.
	Known []Host
}

func (c Config) check() error {
	if c.Self.ID == "" || c.Self.PeerAddress == "" || c.Self.FailureDomain == "" {
		return eris.New("membership.New: the host needs an id, a peer address and a failure domain")
	}
	if c.Incarnation == 0 {
		return eris.New("membership.New: the incarnation must be above 0")
	}
	return nil
}
