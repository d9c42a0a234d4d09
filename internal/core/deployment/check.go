package deployment

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	maxPort = 1<<16 - 1
	// maxSlots and maxLayers are far above what any endpoint has.
	maxSlots  = 1 << 20
	maxLayers = 1 << 16
)

// CheckEndpoint returns why an entry describes no endpoint that can be used with this configuration, or nil. Any writer may have
// written the entry, and it may be older than the configuration.
func (t *Table) CheckEndpoint(e Endpoint) error {
	colon := strings.LastIndexByte(e.Address, ':')
	if n, err := strconv.Atoi(e.Address[colon+1:]); err != nil || n < 1 || n > maxPort || colon < 1 {
		return fmt.Errorf("address %q is no host and port", e.Address)
	}
	if e.Slots < 0 || e.Slots > maxSlots {
		return fmt.Errorf("%d slots are out of range", e.Slots)
	}
	layers := maxLayers
	if svc := t.Service(e.Service); svc != nil && svc.Engine != nil && svc.Engine.Layers > 0 {
		layers = svc.Engine.Layers
	}
	if e.Layers.From < 0 || e.Layers.To < e.Layers.From || e.Layers.To > layers {
		return fmt.Errorf("layers %d to %d are out of range, the model has %d", e.Layers.From, e.Layers.To, layers)
	}
	return nil
}
