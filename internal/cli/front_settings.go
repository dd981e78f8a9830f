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

// settingsPoll is how often the settings file is looked at, since it may
// change without a signal.
const settingsPoll = 5 * time.Second

// catchHangups returns a channel of SIGHUP. It is never given up, since a
// process that starts or leaves must not be ended by the signal either.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reports changes of the settings file. What has changed takes
// effect at the next start. The channel is closed when ctx has ended.
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

// reload reads the file again and logs what came of it. Settings that can't be
// used leave those in force that the process has.
func reload(path, reason string, current platform.Settings, log logr.Logger) platform.Settings {
	next, err := platform.ReadSettings(path)
	if err != nil {
		log.Error(err, "Settings can't be read again; those before stay in force.", "reason", reason)
		return current
	}
	log.Info("Settings were read again.", "reason", reason, "changed", next.Differences(current))
	return next
}
