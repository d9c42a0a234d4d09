package engine

import (
	"time"

	"waxwingplank/internal/core/table"
)

// NewHolding returns a holding of a range of layers.
func NewHolding(model, version string, layers table.Layers) Holding {
	return Holding{model: model, version: version, layers: layers}
}

// DescriptionConfig holds the fields of a Description.
type DescriptionConfig struct {
	Endpoint      table.EndpointID
	Accelerator   string
	FailureDomain string
	MemoryBytes   int64
	ChecksFencing bool
	Incarnation   uint64
	Slots         int
	Holdings      []Holding
}

// NewDescription returns a description with the given fields.
func NewDescription(cfg DescriptionConfig) Description {
	return Description{
		endpoint: cfg.Endpoint, accelerator: cfg.Accelerator, failureDomain: cfg.FailureDomain,
		memoryBytes: cfg.MemoryBytes, checksFencing: cfg.ChecksFencing, incarnation: cfg.Incarnation,
		slots: cfg.Slots, holdings: cfg.Holdings,
	}
}

// LoadConfig holds the fields of a Load.
type LoadConfig struct {
	Incarnation uint64
	Running     int
	Queued      int
	Slots       int
	FreeKVBytes int64
	MeasuredAt  time.Time
	Step        time.Duration
}

// NewLoad returns a load with the given fields.
func NewLoad(cfg LoadConfig) Load {
	return Load{
		incarnation: cfg.Incarnation, running: cfg.Running, queued: cfg.Queued, slots: cfg.Slots,
		freeKVBytes: cfg.FreeKVBytes, measuredAt: cfg.MeasuredAt, step: cfg.Step,
	}
}

// NewCacheEvent returns a cache event with the given fields.
func NewCacheEvent(sequence uint64, change CacheChange, prefixHash string) CacheEvent {
	return CacheEvent{sequence: sequence, change: change, prefixHash: prefixHash}
}
