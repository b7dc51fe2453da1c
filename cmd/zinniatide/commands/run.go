package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide/cmd/zinniatide/settings"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/common/logger"
	"zinniatide.example/zinniatide/exposer"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/querier"
)

// runCommand serves until a signal shuts the process down.
type runCommand struct{ command *cobra.Command }

func newRunCommand() *runCommand {
	r := &runCommand{}
	r.command = &cobra.Command{
		Use:   "run",
		Short: "Serve until SIGTERM or SIGINT",
		Long: "Run serves until SIGTERM or SIGINT, then shuts down gracefully: it removes itself from the address list, keeps\n" +
			"serving until the address lists that callers have cached have expired, finishes open requests, hands over its\n" +
			"buckets and leadership, and exits with code 0. A second signal ends it immediately.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(c.Flags())
			if err != nil {
				return settingsError{err}
			}
			return r.serve(s)
		},
	}
	settings.AddFlags(r.command.Flags())
	return r
}

func (r *runCommand) serve(s *settings.Settings) error {
	configureGC()
	logger.Install(os.Stderr, s.LogLevel, s.VM, s.Zone)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	if s.MetricsAddress != "" {
		metrics, err := exposer.New(s.MetricsAddress, registry)
		if err != nil {
			return err
		}
		defer func() { _ = metrics.Close(context.Background()) }()
	}
	n, err := node.New(node.Config{
		VM: s.VM, Zone: s.Zone, Entry: s.Entry, Control: s.Control, HTTPAddress: s.HTTPAddress,
		PeerAddress: s.PeerAddress, DataFolder: s.DataFolder, ControlVMs: s.ControlVMs, Query: querier.DefaultConfig(),
	}, clock.New(), registry)
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		n.Kill()
		return err
	}
	klog.InfoS("starting graceful shutdown", "step", "stop", "signal", (<-signals).String())
	return r.stop(n, signals, s.StopTimeout)
}

// stop shuts the node down gracefully. It cancels the shutdown after timeout or
// on a second signal.
func (r *runCommand) stop(n *node.Node, signals <-chan os.Signal, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			klog.InfoS("second signal received; aborting graceful shutdown", "step", "stop")
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := n.Stop(ctx); err != nil {
		klog.ErrorS(err, "graceful shutdown incomplete", "step", "stop")
		return err
	}
	klog.InfoS("stopped", "step", "stop")
	return nil
}
