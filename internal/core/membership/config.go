package membership

import (
	"time"

	"github.com/rotisserie/eris"
)

// Timing of the protocol between hosts. The design page specifies heartbeats every 500 ms,
// suspicion after 1.5 s and confirmed death within 2 s.
const (
	// HeartbeatInterval is the interval of heartbeats to relays and between relays.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the idle timeout after which a host is suspect: three missed heartbeats.
	SuspectAfter = 1500 * time.Millisecond
	// deadAfter is the idle timeout after which a suspect can be declared dead. It leaves one
	// tick of 50 ms and one message below the bound of 2 s.
	deadAfter = 1900 * time.Millisecond
	// unconfirmedAfter is the idle timeout after which a suspect counts as unreachable if no other
	// host has confirmed its death. The fault may be on this host's side.
	unconfirmedAfter = 3 * time.Second
	// ProbeTimeout bounds the call of a prober to its target, so that the result arrives before
	// deadAfter.
	ProbeTimeout = 250 * time.Millisecond
	// probeInterval is the interval between probes of a suspect.
	probeInterval = 250 * time.Millisecond
	// domainUnreachableAfter is the time without a reply from any host of a failure domain after
	// which the domain counts as unreachable.
	domainUnreachableAfter = 2 * time.Second
	// heartbeatRetryAfter is the time after which a lost heartbeat is sent again. It equals the
	// deadline of the call.
	heartbeatRetryAfter = 400 * time.Millisecond
	// heartbeatLostAfter ends a heartbeat call that was neither answered nor reported as failed.
	heartbeatLostAfter = 2 * time.Second
	// recheckInterval is the interval between probes of a host that no longer answers heartbeats.
	recheckInterval = 2 * time.Second
	// loadInterval and loadStepPermille limit the rate of load updates. At 410 hosts, one update
	// of 25 bytes every 5 s from two relays costs 4 KB/s. Address responses are cached for 5 s too.
	loadInterval     = 5 * time.Second
	loadStepPermille = 50
	// maxHostsForRemoteLoads is the number of hosts up to which loads are sent to other failure
	// domains. At 410 hosts these loads made a relay forward 80 KB/s, three times its bound.
	// Callers are directed to hosts of their own domain first, so they rarely need remote loads.
	maxHostsForRemoteLoads = 128
	// fullRecordEvery is the number of heartbeats after which a host sends its complete record again.
	fullRecordEvery = 10
	// AddressLifetime is how long a caller may cache an address response.
	AddressLifetime = 5 * time.Second
	// deadRetention is how long the row of a dead host is kept, so that a region that reconnects
	// after hours cannot report the host as live again. At 109 deaths and restarts a day this
	// keeps 10 rows.
	deadRetention = 2 * time.Hour
	// fetchTimeout ends a fetch of documents whose end was not reported.
	fetchTimeout = 10 * time.Second
	// relaysPerDomain is two, so that after the death of one relay the other still receives the
	// heartbeats of every host.
	relaysPerDomain = 2
)

// Config describes a System.
type Config struct {
	Self Host
	// Incarnation must be higher than in any earlier run of this host. It is the start time in
	// milliseconds.
	Incarnation uint64
	// SeedHosts are seed hosts from settings. They allow a start while the host list is unavailable.
	SeedHosts []Host
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
