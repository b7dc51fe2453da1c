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

// run serves until the process is told to stop.
type run struct{ command *cobra.Command }

func newRun() *run {
	r := &run{}
	r.command = &cobra.Command{
		Use:   "run",
		Short: "Serve until SIGTERM or SIGINT",
		Long: "Run serves until SIGTERM or SIGINT, then stops by plan: it leaves the address list, serves until every\n" +
			"address answer has expired, finishes open requests, hands over and exits 0. A second signal ends it at once.",
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

func (r *run) serve(s *settings.Settings) error {
	tuneCollector()
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
	klog.InfoS("stopping by plan", "step", "stop", "signal", (<-signals).String())
	return r.stop(n, signals, s.StopLimit)
}

// stop stops by plan until the limit has passed or a second signal arrives.
func (r *run) stop(n *node.Node, signals <-chan os.Signal, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			klog.InfoS("second signal; stopping at once", "step", "stop")
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := n.Stop(ctx); err != nil {
		klog.ErrorS(err, "stop was cut short", "step", "stop")
		return err
	}
	klog.InfoS("stopped", "step", "stop")
	return nil
}
