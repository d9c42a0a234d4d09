package edge

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"waxwingplank/internal/core/jsonc"
	"waxwingplank/internal/core/retry"
)

// settingsFile is the settings file of an entry host; see docs/OPERATIONS.md for each field.
type settingsFile struct {
	Host             string         `json:"host"`
	FailureDomain    string         `json:"failure_domain"`
	Callers          string         `json:"callers_address"`
	Readiness        string         `json:"readiness_address"`
	Directory        string         `json:"directory_address"`
	Peers            string         `json:"peers_address"`
	Metrics          string         `json:"metrics_address"`
	Seeds            []string       `json:"seed_addresses"`
	Store            string         `json:"store_address"`
	MemoryMB         int64          `json:"memory_mb"`
	MaxDescriptors   int            `json:"max_descriptors"`
	CPUShare         float64        `json:"cpu_share"`
	LinkMbps         float64        `json:"link_mbps"`
	GraceS           float64        `json:"grace_s"`
	DrainMs          float64        `json:"drain_ms"`
	ConfigApplyMs    float64        `json:"config_apply_ms"`
	Budget           budgetSettings `json:"budget"`
	DirectoryTTLMaxS float64        `json:"directory_ttl_max_s"`
	// FirstStart is true if the whole system starts for the first time.
	FirstStart bool   `json:"first_start"`
	LogLevel   string `json:"log_level"`
	// UnfinishedHeadsKB and MaxConnections replace the limits that follow from the memory and the descriptors, if they are not 0.
	UnfinishedHeadsKB int64 `json:"unfinished_heads_kb"`
	MaxConnections    int   `json:"max_connections"`
}

// minUnfinishedHeadsKB leaves room for a few heads of the usual 16 KB.
const minUnfinishedHeadsKB = 64

type budgetSettings struct {
	Ratio   float64 `json:"ratio"`
	WindowS float64 `json:"window_s"`
	Slack   float64 `json:"slack"`
}

// Settings are the checked settings of an entry host.
type Settings struct{ file settingsFile }

// LoadSettings reads and checks a settings file. Errors name the line and the field.
func LoadSettings(name string) (Settings, error) {
	data, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return Settings{}, eris.Wrap(err, "edge.LoadSettings")
	}
	var s Settings
	parsed, err := jsonc.Decode(data, &s.file)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "edge.LoadSettings %s", name)
	}
	if err := s.check(parsed); err != nil {
		return Settings{}, eris.Wrapf(err, "edge.LoadSettings %s", name)
	}
	return s, nil
}

func (s Settings) check(parsed *jsonc.File) error {
	f := s.file
	for _, text := range []struct{ field, value string }{
		{"host", f.Host}, {"failure_domain", f.FailureDomain},
	} {
		if text.value == "" {
			return parsed.FieldError(text.field, "is missing")
		}
	}
	for _, a := range []struct{ field, value string }{
		{"callers_address", f.Callers},
		{"readiness_address", f.Readiness},
		{"directory_address", f.Directory},
		{"peers_address", f.Peers},
		{"metrics_address", f.Metrics},
		{"store_address", f.Store},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return parsed.FieldError(a.field, fmt.Sprintf("%q is no address with a port", a.value))
		}
	}
	for i, seed := range f.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return parsed.FieldError(fmt.Sprintf("seed_addresses[%d]", i), fmt.Sprintf("%q is no address with a port", seed))
		}
	}
	for _, n := range []struct {
		field string
		value float64
	}{
		{"memory_mb", float64(f.MemoryMB)},
		{"max_descriptors", float64(f.MaxDescriptors)},
		{"cpu_share", f.CPUShare},
		{"link_mbps", f.LinkMbps},
		{"grace_s", f.GraceS},
		{"drain_ms", f.DrainMs},
		{"config_apply_ms", f.ConfigApplyMs},
		{"budget.window_s", f.Budget.WindowS},
		{"directory_ttl_max_s", f.DirectoryTTLMaxS},
	} {
		if n.value <= 0 {
			return parsed.FieldError(n.field, "must be greater than 0")
		}
	}
	if f.Budget.Ratio < 0 || f.Budget.Slack < 0 {
		return parsed.FieldError("budget", "must not be negative")
	}
	if f.UnfinishedHeadsKB != 0 && (f.UnfinishedHeadsKB < minUnfinishedHeadsKB || f.UnfinishedHeadsKB > f.MemoryMB<<10) {
		return parsed.FieldError("unfinished_heads_kb", fmt.Sprintf("must be 0, or from %d to memory_mb", minUnfinishedHeadsKB))
	}
	if f.MaxConnections < 0 || f.MaxConnections >= f.MaxDescriptors {
		return parsed.FieldError("max_connections", "must be 0, or from 1 to below max_descriptors")
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s Settings) grace() time.Duration { return seconds(s.file.GraceS) }

// applyTime returns the time within which a change of the endpoints or of the configuration must be in force.
func (s Settings) applyTime() time.Duration {
	return time.Duration(min(s.file.DrainMs, s.file.ConfigApplyMs) * float64(time.Millisecond))
}

// weight ranks hosts by their capacity for the traffic of others.
func (s Settings) weight() float64 { return s.file.CPUShare * s.file.LinkMbps }

// memoryLimit returns the soft limit of the heap in bytes. The remaining memory is for stacks, the system's buffers
// and the program.
func (s Settings) memoryLimit() int64 {
	return int64(float64(s.file.MemoryMB) * memoryShare * (1 << 20))
}

// budget returns the budget for repeats of a process that started at startTime.
func (s Settings) budget(startTime time.Time) retry.Config {
	cfg := retry.Config{Window: seconds(s.file.Budget.WindowS), Ratio: s.file.Budget.Ratio, Slack: s.file.Budget.Slack}
	if !s.file.FirstStart {
		cfg.Began = startTime
	}
	return cfg
}

// StoreAddress returns the address of the platform's store.
func (s Settings) StoreAddress() string { return s.file.Store }
