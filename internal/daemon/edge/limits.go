package edge

import (
	"cmp"
	"sync"
	"time"

	"waxwingplank/internal/core/connection"
	"waxwingplank/internal/core/deployment"
	"waxwingplank/internal/ingress/tcp"
)

const (
	// headerTimeout and idleTimeout apply until the configuration sets others, and if it sets none. They are longer than those of
	// the deployments.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// headerBytes applies in the same way. It is the default of net/http.
	headerBytes = 1 << 20
	// idleMargin is how much longer than the configuration says a connection may be idle: a request that is sent at the end of that
	// time is still on its way.
	idleMargin = time.Second
	// serverTimeout and serverHeaderBytes are limits of net/http, which can't be changed while it serves. The guard enforces those of
	// the configuration, up to these.
	serverTimeout     = time.Hour
	serverHeaderBytes = 16 << 20
	// headMemoryShare is the share of the host's memory for unfinished heads. The collector lets the heap grow by gcPercent, and
	// lines that grow are copied, so that they take up to three times as much.
	headMemoryShare = 1.0 / 8
	// connectionShare is the share of the host's memory for open connections, and connectionBytes what one is counted for. A silent
	// one takes about 10 KB: the stack of its goroutine and two buffers of net/http.
	connectionShare = 1.0 / 4
	connectionBytes = 16 << 10
	// descriptorShare is the share of the descriptors for connections of callers. The others are for workers, other hosts and files.
	descriptorShare = 3.0 / 4
)

// callerLimits sets the limits of the guard, which follow the settings and the configuration.
type callerLimits struct {
	guard *tcp.Guard

	mu       sync.Mutex
	settings Settings
	limits   deployment.Limits
}

func newCallerLimits(s Settings) *callerLimits {
	return &callerLimits{guard: tcp.NewGuard(connectionLimits(s, deployment.Limits{})), settings: s}
}

func (c *callerLimits) setTable(t *deployment.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = t.Limits()
	c.guard.SetLimits(connectionLimits(c.settings, c.limits))
}

func (c *callerLimits) setSettings(s Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
	c.guard.SetLimits(connectionLimits(s, c.limits))
}

// connectionLimits returns the limits for connections under the settings and the limits of the configuration.
func connectionLimits(s Settings, l deployment.Limits) connection.Limits {
	memory := float64(s.file.MemoryMB) * (1 << 20)
	derived := min(memory*connectionShare/connectionBytes, float64(s.file.MaxDescriptors)*descriptorShare)
	return connection.Limits{
		HeadBytes:       int64(min(cmp.Or(max(l.HeaderBytes, 0), headerBytes), serverHeaderBytes)),
		HeadTimeout:     min(cmp.Or(max(l.HeaderTimeout, 0), headerTimeout), serverTimeout),
		IdleTimeout:     min(cmp.Or(max(l.IdleTimeout, 0), idleTimeout)+idleMargin, serverTimeout),
		HeadMemoryBytes: cmp.Or(s.file.UnfinishedHeadsKB<<10, int64(memory*headMemoryShare)),
		Connections:     cmp.Or(s.file.MaxConnections, max(int(derived), 1)),
	}
}
