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

	"zinniatide.example/zinniatide/common/asyncwriter"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/logger"
	"zinniatide.example/zinniatide/exposer"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/platform"
)

// platformRun serves on the users' platform.
type platformRun struct {
	command     *cobra.Command
	metricsPort uint16
}

func newPlatform() *platformRun {
	p := &platformRun{}
	p.command = &cobra.Command{
		Use:   "platform",
		Short: "Serve on the users' platform until SIGTERM",
		Long: "Platform reads the settings file named by " + platform.SettingsVariable + " and serves the roles that it names:\n" +
			"callers, address answers, or control. SIGTERM stops by plan, SIGHUP reads the settings again.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := platform.Load(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return settingsError{err}
			}
			return p.serve(s)
		},
	}
	p.command.Flags().Uint16Var(&p.metricsPort, "metrics-port", 0, "port that serves /metrics on the machine's address; 0 for none")
	return p
}

func (p *platformRun) serve(s *platform.Settings) error {
	clocks := clock.New()
	log := asyncwriter.New(os.Stdout, clocks)
	defer log.Close()
	logger.Install(log, slog.LevelInfo, s.VM, s.Zone)
	klog.InfoS("settings read", "step", "start", "machine", s.Name, "caller-address", s.CallerAddress, "control-address", s.ControlAddress,
		"directory-address", s.DirectoryAddress, "cores", s.Cores, "memory-bytes", s.MemoryBytes)
	tuneRelay(s.MemoryBytes)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "zinniatide_log_lines_left_out_total", Help: "Log lines left out because of their volume or a slow reader.",
		}, func() float64 { return float64(log.Omitted()) }))
	if p.metricsPort != 0 {
		metrics, err := exposer.New(net.JoinHostPort(s.MetricsIP, strconv.Itoa(int(p.metricsPort))), registry)
		if err != nil {
			return err
		}
		defer func() { _ = metrics.Close(context.Background()) }() // the process ends
	}
	r, err := node.NewRelay(node.RelayConfig{
		VM: s.VM, Zone: s.Zone, CallerAddress: s.CallerAddress, ControlAddress: s.ControlAddress, DataFolder: s.DataFolder, FirstStart: s.FirstStart,
		Seeds: s.Seeds, Voters: s.Voters, Budget: s.Budget, RelayCapacity: relayRate * s.Cores, StopLimit: s.StopLimit,
		CallerNames: platform.CallerNames(), RelayNames: platform.RelayNames(), BackendNames: platform.BackendNames(),
	}, clocks, registry)
	if err != nil {
		klog.ErrorS(err, "process cannot start", "step", "start")
		return err
	}
	if err := r.Start(endpoints(r, s)); err != nil {
		klog.ErrorS(err, "process cannot start", "step", "start")
		return err
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			klog.InfoS("stopping by plan", "step", "stop", "signal", received.String())
			break
		}
		reload(r)
	}
	r.Stop()
	return nil
}

// relayRate is the requests a second to backend servers that a relay VM with
// one core should have. At some 100 us each, processing then takes a seventh of
// the core, which keeps the answers of many shards from waiting for each other.
const relayRate = 1500

// endpoints are the addresses that the process serves besides callers.
func endpoints(r *node.Relay, s *platform.Settings) []node.Endpoint {
	var out []node.Endpoint
	if s.ControlAddress != "" {
		out = append(out, node.Endpoint{Address: s.ControlAddress, Handler: platform.NewControl(r.Operator(), r.Enroller(), r.HeartbeatAddress)})
	}
	if s.DirectoryAddress != "" {
		lifetime := min(node.RelayAddressLifetime, s.LongestLifetime)
		out = append(out, node.Endpoint{Address: s.DirectoryAddress, Handler: platform.NewDirectory(r.Addresses, lifetime)})
	}
	if s.ReadyAddress != "" {
		out = append(out, node.Endpoint{Address: s.ReadyAddress, Handler: platform.NewReady(r.Ready)})
	}
	return out
}

// reload reads the settings again. Only seeds can change in a running process.
func reload(r *node.Relay) {
	s, err := platform.Load(os.Getenv(platform.SettingsVariable))
	if err != nil {
		klog.ErrorS(err, "settings not reloaded; the former ones hold", "step", "reload")
		return
	}
	r.SetSeeds(s.Seeds)
}

// memoryShare is the part of a machine's memory that the heap may take. The
// rest is for stacks, buffers of the kernel and unread bytes.
const memoryShare = 0.6

// relayGCPercent lets the heap of a small VM grow to five times of what is
// live, which is a few MB, before it is collected.
const relayGCPercent = 400

func tuneRelay(memory int64) {
	debug.SetGCPercent(relayGCPercent)
	debug.SetMemoryLimit(int64(float64(memory) * memoryShare))
}
