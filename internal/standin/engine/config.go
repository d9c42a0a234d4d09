package engine

import (
	"io"
	"math/bits"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Holding is a range of layers of a model that the engine has loaded.
type Holding struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Layers  [2]int `json:"layers"`
}

// Config describes a Server.
type Config struct {
	Endpoint      string
	Accelerator   string
	FailureDomain string
	MemoryBytes   int64
	ChecksFencing bool
	Holdings      []Holding
	// Slots is the number of streams that run at once with this engine as their first stage.
	Slots int
	// QueueLimit bounds the streams that wait for a slot.
	QueueLimit int
	// Step is the time for one token; Prefill is the time for 1,000 bytes of prompt and answer.
	Step    time.Duration
	Prefill time.Duration
	// Heartbeat is the period of heartbeats while no token is due.
	Heartbeat time.Duration
	// StageTimeout is how long the engine waits for the next stage before it fails the attempt.
	StageTimeout time.Duration
	// KeepBroken is how long the cache of a stream outlives its connection.
	KeepBroken time.Duration
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// EventDelay holds cache events back; every EventGap-th event is lost, unless EventGap is zero.
	EventDelay time.Duration
	EventGap   int
	// CachePrefixes bounds the prefix cache.
	CachePrefixes    int
	KVBytesPerToken  int64
	OrderTime        time.Duration
	CrashMarker      string
	CrashDowntime    time.Duration
	MaxExecutions    int
	NoExecutionsKept bool
	// Record takes a JSON line for each execution, so that a killed engine leaves its record.
	Record io.Writer
}

// The defaults: a small engine, the protocol's 500 ms heartbeat, and half a second to restart.
const (
	defaultSlots         = 8
	defaultQueue         = 64
	defaultMemoryBytes   = 16 << 30
	defaultHeartbeat     = 500 * time.Millisecond
	defaultStageTimeout  = time.Second
	defaultKeepBroken    = 30 * time.Second
	defaultCachePrefixes = 1024
	defaultKVBytes       = 64 << 10
	defaultDowntime      = 500 * time.Millisecond
	// defaultMaxExecutions bounds the record to about 100 MB.
	defaultMaxExecutions = 1_000_000
)

func (c Config) withDefaults() Config {
	c.Slots = orInt(c.Slots, defaultSlots)
	c.QueueLimit = orInt(c.QueueLimit, defaultQueue)
	c.CachePrefixes = orInt(c.CachePrefixes, defaultCachePrefixes)
	c.MaxExecutions = orInt(c.MaxExecutions, defaultMaxExecutions)
	c.Heartbeat = orDuration(c.Heartbeat, defaultHeartbeat)
	c.StageTimeout = orDuration(c.StageTimeout, defaultStageTimeout)
	c.KeepBroken = orDuration(c.KeepBroken, defaultKeepBroken)
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
	return text(content(model, version, prompt), position)
}

// content identifies what a stream generates.
func content(model, version, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + prompt)
}

// golden spreads neighbouring positions over all bits (2^64 divided by the golden ratio).
const golden = 0x9e3779b97f4a7c15

func text(content uint64, position int) string {
	high, low := bits.Mul64(content^(uint64(position)*golden), golden)
	return " " + strconv.FormatUint((high^low)&0xffffffff, 36)
}
