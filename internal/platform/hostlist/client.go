package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/table"
	"waxwingplank/internal/endpoint/http1"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes is about five times the size of a list of 410 hosts of under 512 bytes each.
	maxResponseBytes = 1 << 20
)

// State states whether a host may receive new work.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Config configures a Client.
type Config struct {
	// Address is host:port of the platform.
	Address string
	Timeout time.Duration
}

// Client reads the host list.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client. It opens a connection for each call, because calls are seconds apart and an idle
// connection may have stalled.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{
		url:  "http://" + cfg.Address + "/v1/hosts",
		http: &http.Client{Timeout: cfg.Timeout, Transport: http1.NewTransport(&http.Transport{})},
	}
}

// Host is one row of the host list.
type Host struct {
	id            table.HostID
	address       string
	peerAddress   string
	failureDomain string
	region        string
	state         State
}

// ID returns the host's name.
func (h Host) ID() table.HostID { return h.id }

// Address returns the address that callers connect to.
func (h Host) Address() string { return h.address }

// PeerAddress returns the address that other hosts connect to.
func (h Host) PeerAddress() string { return h.peerAddress }

// FailureDomain returns the failure domain of the host.
func (h Host) FailureDomain() string { return h.failureDomain }

// Region returns the region of the host.
func (h Host) Region() string { return h.region }

// State returns whether the host is live or leaving.
func (h Host) State() State { return h.state }

type wireHost struct {
	Host          string `json:"host"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         State  `json:"state"`
}

// List reads the host list. An error says nothing about the state of any host.
func (c *Client) List(ctx context.Context) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "hostlist: build request for the host list")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "hostlist: read hosts")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, eris.Errorf("hostlist: read hosts: status %d", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "hostlist: read hosts")
	}
	if len(body) > maxResponseBytes {
		return nil, eris.Errorf("hostlist: read hosts: response exceeds %d bytes", maxResponseBytes)
	}
	return parseHosts(body)
}

// parseHosts rejects the complete list if one row is invalid, so that a damaged response removes no host.
func parseHosts(body []byte) ([]Host, error) {
	var w struct {
		Hosts *[]wireHost `json:"hosts"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, eris.Wrap(err, "hostlist: parse hosts")
	}
	if w.Hosts == nil {
		return nil, eris.New("hostlist: parse hosts: response has no hosts field")
	}
	hosts := make([]Host, 0, len(*w.Hosts))
	for _, r := range *w.Hosts {
		if r.Host == "" || r.PeerAddress == "" {
			return nil, eris.Errorf("hostlist: parse hosts: host %q has no name or no peer address", r.Host)
		}
		if r.State != Live && r.State != Leaving {
			return nil, eris.Errorf("hostlist: parse hosts: host %s has the unknown state %q", r.Host, r.State)
		}
		hosts = append(hosts, Host{
			id: table.HostID(r.Host), address: r.Address, peerAddress: r.PeerAddress,
			failureDomain: r.FailureDomain, region: r.Region, state: r.State,
		})
	}
	return hosts, nil
}
