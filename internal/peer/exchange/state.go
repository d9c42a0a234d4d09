package exchange

import (
	"encoding/json"

	"waxwingplank/internal/core/roster"
)

// Snapshot is a list of endpoints as a host read it from the store, or what has changed in the list. Objects have the
// form in which the store returned them.
type Snapshot struct {
	Revision int64 `json:"revision"`
	// Since is the revision of the list to which the changes apply, or 0 for a complete list.
	Since   int64             `json:"since,omitempty"`
	Objects []json.RawMessage `json:"objects,omitempty"`
	// Removed names the objects that are no longer on the list.
	Removed []string `json:"removed,omitempty"`
}

// Newer is the configuration and the endpoints that a host sends to a peer whose own are older.
type Newer struct {
	// Config is a configuration that Pack has packed.
	Config    []byte    `json:"packed_config,omitempty"`
	Endpoints *Snapshot `json:"endpoints,omitempty"`
}

// State is the message that one host sends to another.
type State struct {
	roster.Report
	// ConfigVersion and EndpointsRevision are the versions of the configuration and the endpoints that the sender has.
	// The ages are the times in ms since the store confirmed them, to the sender or to a host that it follows.
	ConfigVersion     int64 `json:"config_version"`
	ConfigAgeMs       int64 `json:"config_age_ms"`
	EndpointsRevision int64 `json:"endpoints_revision"`
	EndpointsAgeMs    int64 `json:"endpoints_age_ms"`
	// EndpointsDigest identifies the content of the list of endpoints.
	EndpointsDigest uint64 `json:"endpoints_digest"`
	// Follows is true if the sender receives both from other hosts instead of the store.
	Follows bool `json:"follows,omitempty"`
	Newer
	// WantNewer asks the receiver for endpoints that the store has confirmed more recently than the sender's.
	WantNewer bool `json:"want,omitempty"`
	// Marks lists the requests that crashed the endpoints on which they ran.
	Marks json.RawMessage `json:"marks,omitempty"`
}
