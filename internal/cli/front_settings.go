package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"yuccausher/platform"
)

// settingsPoll is the interval of the checks of the settings file, since it may
// change without a signal.
const settingsPoll = 5 * time.Second

// notifyHangups returns a channel of SIGHUP signals. The registration is never
// removed, since SIGHUP must not end a process that is starting or stopping.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings logs changes of the settings file, which take effect at the next
// start. The returned channel is closed after ctx ends.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, current platform.Settings, log logr.Logger) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(settingsPoll)
		defer ticker.Stop()
		changed := modTime(path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				current = reload(path, "signal", current, log)
			case <-ticker.C:
				if at := modTime(path); !at.Equal(changed) {
					changed = at
					current = reload(path, "file changed", current, log)
				}
			}
		}
	}()
	return done
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings file again and logs the result. If the settings are
// invalid, it returns the current ones.
func reload(path, reason string, current platform.Settings, log logr.Logger) platform.Settings {
	next, err := platform.ReadSettings(path)
	if err != nil {
		log.Error(err, "Failed to reload settings; keeping the current ones.", "reason", reason)
		return current
	}
	log.Info("Settings reloaded.", "reason", reason, "changed", next.Differences(current))
	return next
}
