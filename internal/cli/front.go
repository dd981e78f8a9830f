package cli

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"yuccausher/internal/adapter/logging"
	"yuccausher/internal/core/quota"
	"yuccausher/internal/front"
	"yuccausher/internal/settings"
	"yuccausher/internal/storecall"
	"yuccausher/platform"
)

// memoryShare is the fraction of the host's memory set as the Go memory limit.
// The rest is for stacks and socket buffers.
const memoryShare = 0.6

// frontCommand runs one host on the users' platform.
type frontCommand struct {
	settings *settings.Front
	unknown  []string
}

// Name implements subcommands.Command.
func (*frontCommand) Name() string { return "front" }

// Synopsis implements subcommands.Command.
func (*frontCommand) Synopsis() string { return "run one host on the users' platform until SIGTERM" }

// Usage implements subcommands.Command.
func (*frontCommand) Usage() string {
	return `front -config FILE [-metrics-port PORT] [-log-level LEVEL] [-log-rate NUMBER]

Runs one host on the users' platform, which tells it addresses and bounds in
FILE. SIGTERM makes a planned stop: the host leaves the rotation, answers what
comes meanwhile and exits with 0. SIGHUP reads FILE again. Each flag can also be
set in the environment: -config is ` + platform.SettingsVariable + `.

`
}

// SetFlags implements subcommands.Command.
func (c *frontCommand) SetFlags(f *flag.FlagSet) { c.settings = settings.NewFront(f) }

// filter implements argumentFilter.
func (c *frontCommand) filter(args []string) []string {
	flags := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	settings.NewFront(flags)
	known, unknown := settings.SplitUnknown(flags, args)
	c.unknown = unknown
	return known
}

// Execute implements subcommands.Command.
func (c *frontCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	hangups := notifyHangups()
	if err := c.settings.Resolve(c.unknown); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	platformSettings, err := platform.ReadSettings(c.settings.PlatformFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	logger := logging.NewStructured(os.Stdout, logging.Level(c.settings.LogLevel), int(c.settings.LogRate))
	defer closeLog(logger)
	if err := runFront(ctx, hangups, c.settings, platformSettings, logger.Logger); err != nil {
		logger.Error(err, "Host failed.")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// logCloseTimeout bounds the wait for the last log lines to be written.
const logCloseTimeout = 200 * time.Millisecond

func closeLog(l *logging.Structured) {
	ctx, cancel := context.WithTimeout(context.Background(), logCloseTimeout)
	defer cancel()
	l.Close(ctx)
}

// runFront runs a host until a signal ends it.
func runFront(ctx context.Context, hangups <-chan os.Signal, s *settings.Front, platformSettings platform.Settings, logger logr.Logger) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	if platformSettings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(platformSettings.MemoryBytes)))
	}
	f, err := front.New(frontOptions(s, platformSettings, logger))
	if err != nil {
		return err
	}
	log := logger.WithName("front")
	if err := f.Start(ctx); err != nil {
		return err
	}
	log.Info("Host is up.", "host", platformSettings.HostName, "data_centre", platformSettings.DataCentre, "callers", platformSettings.CallerAddress,
		"store", platformSettings.Store.Address, "retention", platformSettings.Store.Retention.String(), "stop_time", platformSettings.StopTime.String())
	reloads := watchSettings(ctx, hangups, s.PlatformFile, platformSettings, log)
	<-ctx.Done()
	stop()
	<-reloads
	log.Info("Host is stopping.", "host", platformSettings.HostName)
	err = f.Stop(context.Background())
	log.Info("Host has stopped.", "host", platformSettings.HostName)
	return err
}

func frontOptions(s *settings.Front, platformSettings platform.Settings, logger logr.Logger) front.Options {
	calls := storecall.New(platform.NewStore(platformSettings.Store.Address), platformSettings.Store.ReadsPerSecond, platformSettings.Store.WritesPerSecond, logger)
	hosts := platform.KeyedTopic{Store: calls, Partition: platform.HostsPartition}
	crashes := platform.KeyedTopic{Store: calls, Partition: platform.CrashesPartition}
	releases := platform.KeyedTopic{Store: calls, Partition: platform.ReleasesPartition}
	metricsAddress := ""
	if s.MetricsPort > 0 {
		metricsAddress = net.JoinHostPort(platformSettings.IP, strconv.FormatInt(s.MetricsPort, 10))
	}
	return front.Options{
		CallerAddress:  platformSettings.CallerAddress,
		ReadyAddress:   platformSettings.ReadyAddress,
		MetricsAddress: metricsAddress,
		PeerAddress:    net.JoinHostPort(platformSettings.IP, strconv.Itoa(platformSettings.FirstPort)),
		HostName:       platformSettings.HostName,
		DataCentre:     platformSettings.DataCentre,
		DrainTime:      platformSettings.DrainTime,
		StableWindow:   platformSettings.StableWindow,
		StopTime:       platformSettings.StopTime,
		QuotaTolerance: quota.Tolerance{Window: platformSettings.Quota.Window, Over: platformSettings.Quota.Over, Slack: platformSettings.Quota.Slack},
		Retention:      platformSettings.Store.Retention,
		Partitions:     platformSettings.Store.Partitions,
		RecordBytes:    platformSettings.Store.RecordBytes,
		CallBytes:      platformSettings.Store.CallBytes,
		MemoryBytes:    platformSettings.MemoryBytes,
		MaxDescriptors: platformSettings.MaxDescriptors,
		Seed:           rand.Uint64(),
		Logger:         logger,
		Platform: front.Platform{
			Log:                 calls,
			Calls:               calls,
			Configuration:       platform.KeyedTopic{Store: calls, Partition: platform.ConfigurationPartition},
			ConfigurationKey:    platform.ConfigurationKey,
			DecodeConfiguration: platform.DecodeConfiguration,
			Targets:             platform.KeyedTopic{Store: calls, Partition: platform.TargetsPartition},
			DecodeTarget:        platform.DecodeTarget,
			Hosts:               hosts,
			PutHost:             hosts.Put,
			Crashes:             crashes,
			PutCrashes:          crashes.PutAll,
			Releases:            releases,
			PutRelease:          releases.Put,
			WritesPerSecond:     platformSettings.Store.WritesPerSecond,
			Protocol:            platform.Headers{},
			ReadyPath:           platform.ReadyPath,
		},
	}
}
