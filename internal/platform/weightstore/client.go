package weightstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/endpoint/http1"
)

const (
	defaultTimeout = 2 * time.Second
	// maxResponseBytes is far above the size of the two numbers in a response.
	maxResponseBytes = 4 << 10
)

// Config configures a Client.
type Config struct {
	// Address is host:port of the weight store.
	Address string
	Timeout time.Duration
}

// Client reads the weight store's limits.
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
		url:  "http://" + cfg.Address + "/v1/limits",
		http: &http.Client{Timeout: cfg.Timeout, Transport: http1.NewTransport(&http.Transport{})},
	}
}

// Limits holds the limits that the weight store sets for all readers together.
type Limits struct {
	bytesPerSecond int64
	loadsAtOnce    int
}

// BytesPerSecond returns the total rate of all loads, in bytes per second.
func (l Limits) BytesPerSecond() int64 { return l.bytesPerSecond }

// LoadsAtOnce returns the number of loads that may run concurrently.
func (l Limits) LoadsAtOnce() int { return l.loadsAtOnce }

// Limits reads the published limits.
func (c *Client) Limits(ctx context.Context) (Limits, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return Limits{}, eris.Wrap(err, "weightstore: build request for the limits")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Limits{}, eris.Wrap(err, "weightstore: read limits")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Limits{}, eris.Errorf("weightstore: read limits: status %d", res.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return Limits{}, eris.Wrap(err, "weightstore: read limits")
	}
	if len(body) > maxResponseBytes {
		return Limits{}, eris.Errorf("weightstore: read limits: response exceeds %d bytes", maxResponseBytes)
	}
	return parseLimits(body)
}

// parseLimits decodes the limits and rejects values that are not positive.
func parseLimits(body []byte) (Limits, error) {
	var w struct {
		BytesPerSecond int64 `json:"bytes_per_second"`
		LoadsAtOnce    int   `json:"loads_at_once"`
	}
	if err := json.Unmarshal(body, &w); err != nil {
		return Limits{}, eris.Wrap(err, "weightstore: parse limits")
	}
	if w.BytesPerSecond <= 0 || w.LoadsAtOnce <= 0 {
		return Limits{}, eris.Errorf("weightstore: parse limits: limits are not positive: %s", body)
	}
	return Limits{bytesPerSecond: w.BytesPerSecond, loadsAtOnce: w.LoadsAtOnce}, nil
}
