package settings

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/jsonc"
	"waxwingplank/internal/core/table"
)

// file is the content of the settings file. docs/OPERATIONS.md describes its fields.
type file struct {
	Host          string        `json:"host"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region"`
	Caller        string        `json:"caller_address"`
	Peer          string        `json:"peer_address"`
	Operator      string        `json:"operator_address"`
	Platform      platformFile  `json:"platform"`
	Claims        claimsFile    `json:"claims"`
	Limits        limitsFile    `json:"limits"`
	SealKeys      []sealKeyFile `json:"seal_keys"`
	TLS           *tlsFile      `json:"tls"`
	TokensFile    string        `json:"tokens_file"`
	LogLevel      string        `json:"log_level"`
}

type platformFile struct {
	ObjectAPI   string `json:"object_api_address"`
	HostList    string `json:"host_list_address"`
	WeightStore string `json:"weight_store_address"`
	TimeoutMs   int64  `json:"timeout_ms"`
}

type claimsFile struct {
	Shards      int   `json:"shards"`
	FlushMs     int64 `json:"flush_ms"`
	InlineBytes int   `json:"inline_bytes"`
}

type limitsFile struct {
	BodyBytes      int64 `json:"body_bytes"`
	HeaderBytes    int   `json:"header_bytes"`
	Streams        int   `json:"streams"`
	MaxRequestMs   int64 `json:"max_request_ms"`
	DrainTimeoutMs int64 `json:"drain_timeout_ms"`
	AnswerBytes    int64 `json:"answer_bytes"`
	// UnfinishedHeadsBytes bounds the memory of all request heads that are being read, Connections the open connections.
	UnfinishedHeadsBytes int64 `json:"unfinished_heads_bytes"`
	Connections          int   `json:"connections"`
}

type sealKeyFile struct {
	ID  string `json:"id"`
	Key string `json:"key_base64"`
}

type tlsFile struct {
	CallerCert string `json:"caller_cert_file"`
	CallerKey  string `json:"caller_key_file"`
	PeerCert   string `json:"peer_cert_file"`
	PeerKey    string `json:"peer_key_file"`
	PeerCA     string `json:"peer_ca_file"`
}

// Settings is the content of a valid settings file.
type Settings struct {
	f        file
	sealKeys []SealKey
}

// SealKey is a key for sealing event identifiers.
type SealKey struct {
	id  string
	key []byte
}

// ID returns the name of the key.
func (k SealKey) ID() string { return k.id }

// Key returns the 32 bytes of the key.
func (k SealKey) Key() []byte { return k.key }

// TLS names the certificate files.
type TLS struct{ f tlsFile }

// CallerCert returns the certificate file for callers and operators.
func (t TLS) CallerCert() string { return t.f.CallerCert }

// CallerKey returns the key file for callers and operators.
func (t TLS) CallerKey() string { return t.f.CallerKey }

// PeerCert returns the certificate file for connections between hosts.
func (t TLS) PeerCert() string { return t.f.PeerCert }

// PeerKey returns the key file for connections between hosts.
func (t TLS) PeerKey() string { return t.f.PeerKey }

// PeerCA returns the file of the certificate authority that signs the hosts' certificates.
func (t TLS) PeerCA() string { return t.f.PeerCA }

// Load reads and validates the settings file. An error names the file, and for an invalid setting its line and field.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings.Load")
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse parses and validates the text of a settings file. An error names the line and the field.
func Parse(data []byte) (Settings, error) {
	f := defaults()
	at, err := jsonc.Decode(data, &f)
	if err != nil {
		return Settings{}, err
	}
	if err := validate(at, f); err != nil {
		return Settings{}, err
	}
	s := Settings{f: f}
	for _, k := range f.SealKeys {
		key, err := base64.StdEncoding.DecodeString(k.Key)
		if err != nil {
			return Settings{}, eris.Wrap(err, "settings.Parse")
		}
		s.sealKeys = append(s.sealKeys, SealKey{id: k.ID, key: key})
	}
	return s, nil
}

func defaults() file {
	return file{
		LogLevel: "info",
		Platform: platformFile{TimeoutMs: 1000},
		// Eight shards, each flushed at most every 25 ms, make no more than 320 of the several hundred
		// writes/s that the object API accepts.
		Claims: claimsFile{Shards: 8, FlushMs: 25, InlineBytes: 64 << 10},
		Limits: limitsFile{
			BodyBytes:      1 << 20,
			HeaderBytes:    32 << 10,
			Streams:        4096,
			MaxRequestMs:   300_000,
			DrainTimeoutMs: 330_000,
			AnswerBytes:    1 << 20,
			// 1,000 heads of the largest default size at once.
			UnfinishedHeadsBytes: 32 << 20,
			// Four for each of the default number of streams, since callers keep connections.
			Connections: 16_384,
		},
	}
}

// bound is a number in the settings with its allowed range.
type bound struct {
	field    string
	value    int64
	min, max int64
}

func validate(at *jsonc.File, f file) error {
	names := []struct{ field, value string }{
		{"host", f.Host},
		{"failure_domain", f.FailureDomain},
		{"region", f.Region},
	}
	for _, n := range names {
		if n.value == "" {
			return at.FieldError(n.field, "is missing")
		}
	}
	addresses := []struct{ field, value string }{
		{"caller_address", f.Caller},
		{"peer_address", f.Peer},
		{"operator_address", f.Operator},
		{"platform.object_api_address", f.Platform.ObjectAPI},
		{"platform.host_list_address", f.Platform.HostList},
		{"platform.weight_store_address", f.Platform.WeightStore},
	}
	for _, a := range addresses {
		if a.value == "" {
			return at.FieldError(a.field, "is missing")
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return at.FieldError(a.field, "must be an IP number and a port, such as 192.0.2.1:8100")
		}
	}
	const day = 86_400_000
	bounds := []bound{
		{"platform.timeout_ms", f.Platform.TimeoutMs, 10, 60_000},
		{"claims.shards", int64(f.Claims.Shards), 1, 4096},
		{"claims.flush_ms", f.Claims.FlushMs, 1, 1000},
		{"claims.inline_bytes", int64(f.Claims.InlineBytes), 1 << 10, 512 << 10},
		{"limits.body_bytes", f.Limits.BodyBytes, 1 << 10, 64 << 20},
		{"limits.header_bytes", int64(f.Limits.HeaderBytes), 1 << 10, 1 << 20},
		{"limits.streams", int64(f.Limits.Streams), 1, 1 << 20},
		{"limits.max_request_ms", f.Limits.MaxRequestMs, 100, day},
		{"limits.drain_timeout_ms", f.Limits.DrainTimeoutMs, 100, day},
		{"limits.answer_bytes", f.Limits.AnswerBytes, 1 << 10, 64 << 20},
		{"limits.unfinished_heads_bytes", f.Limits.UnfinishedHeadsBytes, 64 << 10, 1 << 30},
		{"limits.connections", int64(f.Limits.Connections), 16, 1 << 20},
	}
	for _, b := range bounds {
		if b.value < b.min || b.value > b.max {
			return at.FieldError(b.field, fmt.Sprintf("is %d, must be from %d to %d", b.value, b.min, b.max))
		}
	}
	// A shorter drain timeout would interrupt requests in flight.
	if f.Limits.DrainTimeoutMs <= f.Limits.MaxRequestMs {
		return at.FieldError("limits.drain_timeout_ms", "must be longer than limits.max_request_ms")
	}
	return validateKeys(at, f)
}

func validateKeys(at *jsonc.File, f file) error {
	if len(f.SealKeys) == 0 {
		return at.FieldError("seal_keys", "needs at least one key")
	}
	for i, k := range f.SealKeys {
		field := fmt.Sprintf("seal_keys[%d]", i)
		if k.ID == "" || len(k.ID) > 8 {
			return at.FieldError(field+".id", "must have 1 to 8 characters")
		}
		if key, err := base64.StdEncoding.DecodeString(k.Key); err != nil || len(key) != 32 {
			return at.FieldError(field+".key_base64", "must be 32 bytes in base64")
		}
	}
	if f.TLS == nil {
		return nil
	}
	files := []struct{ field, value string }{
		{"tls.caller_cert_file", f.TLS.CallerCert},
		{"tls.caller_key_file", f.TLS.CallerKey},
		{"tls.peer_cert_file", f.TLS.PeerCert},
		{"tls.peer_key_file", f.TLS.PeerKey},
		{"tls.peer_ca_file", f.TLS.PeerCA},
	}
	for _, n := range files {
		if n.value == "" {
			return at.FieldError(n.field, "is missing")
		}
	}
	return nil
}

// Host returns the name of this host.
func (s Settings) Host() table.HostID { return table.HostID(s.f.Host) }

// FailureDomain returns the failure domain of this host.
func (s Settings) FailureDomain() string { return s.f.FailureDomain }

// Region returns the region of this host.
func (s Settings) Region() string { return s.f.Region }

// CallerAddress returns the address for callers.
func (s Settings) CallerAddress() string { return s.f.Caller }

// PeerAddress returns the address for other hosts.
func (s Settings) PeerAddress() string { return s.f.Peer }

// OperatorAddress returns the address for operators and metrics.
func (s Settings) OperatorAddress() string { return s.f.Operator }

// ObjectAPIAddress returns the address of the object API.
func (s Settings) ObjectAPIAddress() string { return s.f.Platform.ObjectAPI }

// HostListAddress returns the address of the host list.
func (s Settings) HostListAddress() string { return s.f.Platform.HostList }

// WeightStoreAddress returns the address of the weight store.
func (s Settings) WeightStoreAddress() string { return s.f.Platform.WeightStore }

// PlatformTimeout returns the timeout of a call to the platform.
func (s Settings) PlatformTimeout() time.Duration { return milliseconds(s.f.Platform.TimeoutMs) }

// ClaimShards returns the number of claim shards, which must be the same on all hosts.
func (s Settings) ClaimShards() int { return s.f.Claims.Shards }

// ClaimFlushInterval returns the minimum time between two writes of a claim shard.
func (s Settings) ClaimFlushInterval() time.Duration { return milliseconds(s.f.Claims.FlushMs) }

// ClaimInlineBytes returns the size at which the entries of a claim shard are sealed into a segment.
func (s Settings) ClaimInlineBytes() int { return s.f.Claims.InlineBytes }

// MaxBodyBytes returns the maximum size of a request body.
func (s Settings) MaxBodyBytes() int64 { return s.f.Limits.BodyBytes }

// MaxHeaderBytes returns the maximum size of the headers of a request.
func (s Settings) MaxHeaderBytes() int { return s.f.Limits.HeaderBytes }

// MaxUnfinishedHeadsBytes returns the maximum memory of all request heads that are being read.
func (s Settings) MaxUnfinishedHeadsBytes() int64 { return s.f.Limits.UnfinishedHeadsBytes }

// MaxConnections returns the maximum number of open connections of callers and operators.
func (s Settings) MaxConnections() int { return s.f.Limits.Connections }

// MaxStreams returns the maximum number of streams that the host serves at the same time.
func (s Settings) MaxStreams() int { return s.f.Limits.Streams }

// MaxRequestTime returns the maximum duration of a request.
func (s Settings) MaxRequestTime() time.Duration { return milliseconds(s.f.Limits.MaxRequestMs) }

// DrainTimeout returns the maximum time for which a planned stop waits for requests in flight.
func (s Settings) DrainTimeout() time.Duration { return milliseconds(s.f.Limits.DrainTimeoutMs) }

// MaxResponseBytes returns the maximum size of a plain service's response.
func (s Settings) MaxResponseBytes() int64 { return s.f.Limits.AnswerBytes }

// SealKeys returns the keys for sealing event identifiers, newest first.
func (s Settings) SealKeys() []SealKey { return s.sealKeys }

// TLS returns the certificate files and reports whether any are configured.
func (s Settings) TLS() (TLS, bool) {
	if s.f.TLS == nil {
		return TLS{}, false
	}
	return TLS{f: *s.f.TLS}, true
}

// TokensFile returns the file with the callers' tokens, or an empty string if none is configured.
func (s Settings) TokensFile() string { return s.f.TokensFile }

// LogLevel returns the lowest severity that is logged.
func (s Settings) LogLevel() string { return s.f.LogLevel }

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
