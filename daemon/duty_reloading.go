package main

import (
	"context"
	"os"
	"reflect"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"yuccaspread/common/catcher"
	"yuccaspread/common/clock"
	"yuccaspread/common/loader"
)

// reloadInterval is the time between two checks of the settings file for
// changes that no signal announces.
const reloadInterval = 5 * clock.Second

// settingsFile is the source of the settings and what was last read from it.
type settingsFile struct {
	source loader.Source
	latest atomic.Pointer[settings]
	// signals announces changes of the file.
	signals *catcher.Catcher
	// readModTime is the modification time of the file when it was last read.
	readModTime time.Time
}

// Seeds returns the seeds of the settings that were read last.
func (f *settingsFile) Seeds() []string { return f.latest.Load().Seeds }

// reloadingDuty reloads the settings on SIGHUP and when the file changes. New
// seeds apply at once; any other change needs a restart, which the log reports.
func reloadingDuty() fx.Option {
	return fx.Module("reloading", fx.Invoke(func(l fx.Lifecycle, f *settingsFile) { runDuty(l, f.run) }))
}

func (f *settingsFile) run(ctx context.Context) {
	ticker := clock.NewTicker(reloadInterval)
	defer ticker.Stop()
	f.readModTime = f.modTime()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.signals.ReloadRequested():
			f.reload("signal")
		case <-ticker.C:
			if modTime := f.modTime(); !modTime.Equal(f.readModTime) {
				f.reload("file")
			}
		}
	}
}

// modTime returns the modification time of the file, or the zero time if it
// can't be read.
func (f *settingsFile) modTime() time.Time {
	info, err := os.Stat(f.source.Path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (f *settingsFile) reload(cause string) {
	f.readModTime = f.modTime()
	var next settings
	if err := loader.Load(f.source, &next); err != nil {
		klog.ErrorS(err, "settings could not be reloaded; the previous ones stay in use", "cause", cause)
		return
	}
	previous := *f.latest.Load()
	f.latest.Store(&next)
	previous.Seeds = next.Seeds
	klog.InfoS("settings reloaded", "cause", cause, "seeds", len(next.Seeds), "restart_needed", !reflect.DeepEqual(previous, next))
}
