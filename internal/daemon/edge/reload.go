package edge

import (
	"context"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// settingsCheckInterval is the interval between two readings of the settings file, which may change without a
// signal.
const settingsCheckInterval = 3 * time.Second

// reloadable lists the settings that take effect without a restart.
var reloadable = map[string]bool{
	"seed_addresses": true, "memory_mb": true, "budget": true, "directory_ttl_max_s": true, "grace_s": true,
	"unfinished_heads_kb": true, "max_connections": true,
}

// WatchSettings reloads the settings file on each SIGHUP that hangups receives, and when the file changes. It returns at
// once. From the end of stop on the settings stay as they are: the grace period of a stop is the one in force when it began.
func (d *Daemon) WatchSettings(stop context.Context, hangups <-chan os.Signal, name string) {
	go func() {
		ticker := time.NewTicker(settingsCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-hangups:
			case <-ticker.C:
			}
			if stop.Err() != nil {
				d.log.Info("settings kept while the host leaves")
				return
			}
			set, err := LoadSettings(name)
			if err != nil {
				d.log.WithError(err).Error("settings not reloaded")
				continue
			}
			d.Reload(set)
		}
	}()
}

// Reload applies changed settings and logs which of them need a restart.
func (d *Daemon) Reload(set Settings) {
	d.settingsMu.Lock()
	defer d.settingsMu.Unlock()
	// FirstStart describes the start of this process, so a later file does not change it.
	set.file.FirstStart = d.settings.file.FirstStart
	applied, restart := changedFields(d.settings.file, set.file)
	if len(applied)+len(restart) == 0 {
		return
	}
	for _, seed := range set.file.Seeds {
		d.hosts.add(seed, "", 0)
	}
	debug.SetMemoryLimit(set.memoryLimit())
	d.forwarder.SetBudget(set.budget(d.startTime))
	d.limits.setSettings(set)
	d.settings = set
	d.log.WithFields(logrus.Fields{"applied": applied, "needs_restart": restart}).Info("settings reloaded")
}

// changedFields returns the names of the fields that differ: those that take effect at once and those that need a
// restart.
func changedFields(before, after settingsFile) (applied, restart []string) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		if reloadable[name] {
			applied = append(applied, name)
		} else {
			restart = append(restart, name)
		}
	}
	return applied, restart
}

// current returns the settings in force.
func (d *Daemon) current() Settings {
	d.settingsMu.Lock()
	defer d.settingsMu.Unlock()
	return d.settings
}
