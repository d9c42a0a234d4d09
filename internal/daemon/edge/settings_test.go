package edge

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodSettings = `{
  "host": "h1", "failure_domain": "a",
  "callers_address": "127.0.0.1:1", "readiness_address": "127.0.0.1:2", "directory_address": "127.0.0.1:3",
  "peers_address": "127.0.0.1:4", "metrics_address": "127.0.0.1:5", "store_address": "127.0.0.1:6",
  "seed_addresses": ["127.0.0.1:7"],
  "memory_mb": 284, "max_descriptors": 4100, "cpu_share": 0.4, "link_mbps": 1000,
  "grace_s": 8, "drain_ms": 2000, "config_apply_ms": 2000, "directory_ttl_max_s": 5,
  // budget of repeats
  "budget": {"ratio": 0.2, "window_s": 10, "slack": 200}
}`

// Checks that an error in the settings names its line and field.
func TestLoadSettings(t *testing.T) {
	cases := []struct{ name, old, with, want string }{
		{"good", "", "", ""},
		{"no host", `"host": "h1", `, "", "host"},
		{"a bad address", `127.0.0.1:6`, "store", "line 4: field store_address"},
		{"a bad seed", `127.0.0.1:7`, "x", "line 5: field seed_addresses[0]"},
		{"no memory", `"memory_mb": 284`, `"memory_mb": 0`, "line 6: field memory_mb"},
		{"a negative ratio", `"ratio": 0.2`, `"ratio": -1`, "field budget"},
		{"too little for unfinished heads", `"grace_s"`, `"unfinished_heads_kb": 63, "grace_s"`, "line 7: field unfinished_heads_kb"},
		{"more for unfinished heads than there is memory", `"grace_s"`, `"unfinished_heads_kb": 290817, "grace_s"`, "field unfinished_heads_kb"},
		{"as many connections as descriptors", `"grace_s"`, `"max_connections": 4100, "grace_s"`, "field max_connections"},
		{"limits of connections", `"grace_s"`, `"unfinished_heads_kb": 64, "max_connections": 4099, "grace_s"`, ""},
		{"an unknown field", `"grace_s"`, `"grace"`, "grace"},
		{"no JSON", `{`, `[`, "line"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			name := filepath.Join(t.TempDir(), "settings.json")
			text := goodSettings
			if c.old != "" {
				text = strings.Replace(text, c.old, c.with, 1)
			}
			is.NoErr(os.WriteFile(name, []byte(text), 0o600))
			_, err := LoadSettings(name)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Checks which settings a reload applies and which it reports as needing a restart.
func TestChangedFields(t *testing.T) {
	is := is.New(t)
	before := settingsFile{Host: "h", Seeds: []string{"a"}, GraceS: 8, Callers: "x"}
	after := before
	after.Seeds, after.Callers = []string{"b"}, "y"
	applied, restart := changedFields(before, after)
	is.Equal(applied, []string{"seed_addresses"})
	is.Equal(restart, []string{"callers_address"})
	applied, restart = changedFields(before, before)
	is.Equal(len(applied)+len(restart), 0)
}
