package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingplank/internal/core/connection"
	"waxwingplank/internal/core/deployment"
)

// Guards against limits that refuse clients while no configuration is known, and against settings that do not replace derived limits.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	s := Settings{file: settingsFile{MemoryMB: 184, MaxDescriptors: 4100}}
	is.Equal(connectionLimits(s, deployment.Limits{}), connection.Limits{
		HeadBytes: 1 << 20, HeadTimeout: 10 * time.Second, IdleTimeout: 61 * time.Second, HeadMemoryBytes: 23 << 20, Connections: 2944,
	})
	s.file.MemoryMB, s.file.UnfinishedHeadsKB = 1000, 64
	limits := deployment.Limits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	is.Equal(connectionLimits(s, limits), connection.Limits{
		HeadBytes: 16384, HeadTimeout: 3 * time.Second, IdleTimeout: 16 * time.Second, HeadMemoryBytes: 64 << 10, Connections: 3075,
	})
	s.file.MaxConnections = 10
	is.Equal(connectionLimits(s, limits).Connections, 10)
}
