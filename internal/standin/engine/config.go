package engine

import (
	"io"
	"math/bits"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holding is a range of model layers that the engine has loaded.
type Holding struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Layers  [2]int `json:"layers"`
}

// Config holds the settings of a Server.
type Config struct {
	Endpoint      string
	Accelerator   string
	FailureDomain string
	MemoryBytes   int64
	ChecksFencing bool
	Holdings      []Holding
	// Slots is the number of streams that can run at once with this engine as their first stage.
	Slots int
	// QueueLimit is the largest number of streams that may wait for a slot.
	QueueLimit int
	// Step is the time to generate one token. Prefill is the time to process 1,000 bytes, where the
	// generated tokens of a resumed stream count one byte each.
	Step    time.Duration
	Prefill time.Duration
	// Heartbeat is the interval of heartbeats while no token is due.
	Heartbeat time.Duration
	// StageTimeout is how long the engine waits for the next stage before it fails the attempt.
	StageTimeout time.Duration
	// SessionTTL is how long the KV cache of a stream is retained after its last use.
	SessionTTL time.Duration
	// LoadReportDelay is the age of the load that the engine reports.
	LoadReportDelay time.Duration
	// EventDelay delays the publication of cache events. Every EventLossInterval-th event is lost, unless
	// EventLossInterval is zero.
	EventDelay        time.Duration
	EventLossInterval int
	// CachePrefixes is the capacity of the prefix cache, in prefixes.
	CachePrefixes     int
	KVBytesPerToken   int64
	OrderDuration     time.Duration
	CrashMarker       string
	CrashDowntime     time.Duration
	MaxExecutions     int
	DiscardExecutions bool
	// Record receives one JSON line for each execution, so that the record survives when the engine is
	// killed.
	Record io.Writer
}

// Defaults of a small engine. The heartbeat interval is that of the protocol.
const (
	defaultSlots         = 8
	defaultQueue         = 64
	defaultMemoryBytes   = 16 << 30
	defaultHeartbeat     = 500 * time.Millisecond
	defaultStageTimeout  = time.Second
	defaultSessionTTL    = 30 * time.Second
	defaultCachePrefixes = 1024
	defaultKVBytes       = 64 << 10
	defaultDowntime      = 500 * time.Millisecond
	// 1,000,000 executions take about 100 MB of memory.
	defaultMaxExecutions = 1_000_000
)

func (c Config) withDefaults() Config {
	c.Slots = orInt(c.Slots, defaultSlots)
	c.QueueLimit = orInt(c.QueueLimit, defaultQueue)
	c.CachePrefixes = orInt(c.CachePrefixes, defaultCachePrefixes)
	c.MaxExecutions = orInt(c.MaxExecutions, defaultMaxExecutions)
	c.Heartbeat = orDuration(c.Heartbeat, defaultHeartbeat)
	c.StageTimeout = orDuration(c.StageTimeout, defaultStageTimeout)
	c.SessionTTL = orDuration(c.SessionTTL, defaultSessionTTL)
	c.CrashDowntime = orDuration(c.CrashDowntime, defaultDowntime)
	if c.MemoryBytes == 0 {
		c.MemoryBytes = defaultMemoryBytes
	}
	if c.KVBytesPerToken == 0 {
		c.KVBytesPerToken = defaultKVBytes
	}
	if c.Accelerator == "" {
		c.Accelerator = "standin"
	}
	return c
}

func orInt(v, fallback int) int {
	if v == 0 {
		return fallback
	}
	return v
}

func orDuration(v, fallback time.Duration) time.Duration {
	if v == 0 {
		return fallback
	}
	return v
}

// Text returns the token that every stand-in generates for a prompt at a position.
func Text(model, version, prompt string, position int) string {
	return tokenText(contentHash(model, version, prompt), position)
}

// contentHash identifies the text that a stream generates.
func contentHash(model, version, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + prompt)
}

// goldenRatio64 is 2^64 divided by the golden ratio. Multiplication by it spreads neighbouring positions
// over all bits.
const goldenRatio64 = 0x9e3779b97f4a7c15

func tokenText(content uint64, position int) string {
	high, low := bits.Mul64(content^(uint64(position)*goldenRatio64), goldenRatio64)
	return " " + strconv.FormatUint((high^low)&0xffffffff, 36)
}
