package commands

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/asyncwriter"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/logger"
	"zinniatide.example/zinniatide/exposer"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/platform"
	"zinniatide.example/zinniatide/reserver"
	"zinniatide.example/zinniatide/rollouter"
)

// platformCommand serves on the deployment platform that package platform adapts
// to, with settings from its file.
type platformCommand struct {
	command     *cobra.Command
	metricsPort uint16
}

func newPlatformCommand() *platformCommand {
	p := &platformCommand{}
	p.command = &cobra.Command{
		Use:   "platform",
		Short: "Serve on the deployment platform until SIGTERM or SIGINT",
		Long: "Platform reads the settings file named by " + platform.SettingsVariable + " and serves what the file enables of callers'\n" +
			"requests, the address list and the control API. SIGTERM or SIGINT starts a graceful shutdown, SIGHUP reloads the settings.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := platform.Load(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return settingsError{err}
			}
			return p.serve(s)
		},
	}
	p.command.Flags().Uint16Var(&p.metricsPort, "metrics-port", 0, "port to serve /metrics on, at the machine's address; 0 to disable")
	return p
}

func (p *platformCommand) serve(s *platform.Settings) error {
	systemClock := clock.New()
	logWriter := asyncwriter.New(os.Stdout, systemClock)
	defer logWriter.Close()
	logger.Install(logWriter, slog.LevelInfo, s.VM, s.Zone)
	klog.InfoS("settings loaded", "step", "start", "machine", s.Name, "caller-address", s.CallerAddress, "control-address", s.ControlAddress,
		"directory-address", s.DirectoryAddress, "cores", s.Cores, "memory-bytes", s.MemoryBytes, "descriptors", s.Descriptors)
	configureRelayGC(s.MemoryBytes)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "zinniatide_log_lines_left_out_total", Help: "Log lines left out because of their volume or a slow reader.",
		}, func() float64 { return float64(logWriter.Dropped()) }))
	if p.metricsPort != 0 {
		metrics, err := exposer.New(net.JoinHostPort(s.MetricsIP, strconv.Itoa(int(p.metricsPort))), registry)
		if err != nil {
			return err
		}
		defer func() { _ = metrics.Close(context.Background()) }()
	}
	relay, err := node.NewRelay(node.RelayConfig{
		VM: s.VM, Zone: s.Zone, CallerAddress: s.CallerAddress, ControlAddress: s.ControlAddress, DataFolder: s.DataFolder, FirstStart: s.FirstStart,
		Seeds: s.Seeds, LoadSeeds: loadSeeds, Voters: s.Voters, Budget: s.Budget, Quota: s.Quota, RelayCapacity: relayRequestsPerSecondPerCore * s.Cores, StopLimit: s.StopLimit,
		Rollouts: rolloutLimits(s), CallerNames: platform.CallerHeaders(), RelayNames: platform.ResponseHeaders(), BackendNames: platform.BackendHeaders(),
		Clients: reserver.ConfigFor(s.MemoryBytes, s.Descriptors),
	}, systemClock, registry)
	if err != nil {
		klog.ErrorS(err, "failed to create the relay", "step", "start")
		return err
	}
	if err := relay.Start(endpoints(relay, s)); err != nil {
		klog.ErrorS(err, "failed to start the relay", "step", "start")
		return err
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			klog.InfoS("starting graceful shutdown", "step", "stop", "signal", sig.String())
			break
		}
		relay.ReloadSeeds()
	}
	relay.Stop()
	return nil
}

// relayRequestsPerSecondPerCore is the target rate of requests from a relay VM
// to backend servers, per core. At about 100 us of CPU time per request,
// processing takes a seventh of the core. The rest stays idle, so that the answers
// of many shards don't queue behind each other.
const relayRequestsPerSecondPerCore = 1500

// endpoints returns the HTTP endpoints that the process serves in addition to
// the one for callers.
func endpoints(relay *node.Relay, s *platform.Settings) []node.Endpoint {
	var out []node.Endpoint
	var options []platform.ControlOption
	if rollouts := relay.RolloutOperator(); rollouts != nil {
		options = append(options, platform.WithRollouts(rollouts))
	}
	if s.ControlAddress != "" {
		out = append(out, node.Endpoint{Address: s.ControlAddress, Handler: platform.NewControlHandler(relay.Operator(), relay.Enroller(), relay.HeartbeatAddress, options...), ReadsBodies: true})
	}
	if s.DirectoryAddress != "" {
		lifetime := min(node.RelayAddressLifetime, s.LongestLifetime)
		out = append(out, node.Endpoint{Address: s.DirectoryAddress, Handler: platform.NewDirectoryHandler(relay.Addresses, lifetime)})
	}
	if s.ReadyAddress != "" {
		out = append(out, node.Endpoint{Address: s.ReadyAddress, Handler: platform.NewReadinessHandler(relay.Ready)})
	}
	return out
}

// rolloutLimits returns the limits of rollouts, or nil where they are not in use.
func rolloutLimits(s *platform.Settings) *rollouter.Config {
	if s.Rollouts == nil {
		return nil
	}
	return &rollouter.Config{CanaryShare: s.Rollouts.CanaryShare, CanarySlack: s.Rollouts.CanarySlack, RollbackTime: s.Rollouts.RollbackTime}
}

// loadSeeds reads the seeds from the settings file, the only setting that can change
// while the process runs.
func loadSeeds() ([]zinniatide.ControlVM, error) {
	s, err := platform.Load(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, err
	}
	return s.Seeds, nil
}

// goMemoryFraction is the memory limit of the Go runtime, stacks included, as a
// fraction of the machine's memory. The rest is for kernel buffers and unread
// socket data.
const goMemoryFraction = 0.6

// relayGCPercent lets the heap of a small VM grow to five times the live heap,
// which is a few MB, before a garbage collection.
const relayGCPercent = 400

// configureRelayGC configures the garbage collector for the machine. Unlike
// configureGC, it overrides GOGC and GOMEMLIMIT.
func configureRelayGC(memoryBytes int64) {
	debug.SetGCPercent(relayGCPercent)
	debug.SetMemoryLimit(int64(float64(memoryBytes) * goMemoryFraction))
}
