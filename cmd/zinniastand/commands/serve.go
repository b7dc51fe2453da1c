package commands

import (
	"encoding/json"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/provisioner"
)

// serveCommand runs all emulated backend servers of a layout in one process.
type serveCommand struct {
	command        *cobra.Command
	layoutPath     string
	entryAddresses []string
	countsAddress  string
	seed           uint64
}

func newServeCommand() *serveCommand {
	s := &serveCommand{}
	s.command = &cobra.Command{
		Use: "serve", Short: "Run the emulated backend servers of a layout until SIGTERM or SIGINT",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return s.run() },
	}
	flags := s.command.Flags()
	flags.StringVar(&s.layoutPath, "layout", "", "layout file (JSON)")
	flags.StringSliceVar(&s.entryAddresses, "entries", nil, "HTTP addresses of the entry VMs to announce to")
	flags.StringVar(&s.countsAddress, "counts-address", "", "IP:port to serve GET /counts on")
	flags.Uint64Var(&s.seed, "seed", 1, "seed of the random request run times")
	return s
}

func (s *serveCommand) run() error {
	data, err := os.ReadFile(s.layoutPath)
	if err != nil {
		return zinniatide.WrapStep(err, "read layout", s.layoutPath)
	}
	layout, err := provisioner.Decode(data)
	if err != nil {
		return zinniatide.WrapStep(err, "decode layout", s.layoutPath)
	}
	p, err := provisioner.New(layout, s.entryAddresses, s.seed)
	if err != nil {
		return err
	}
	defer p.Close()
	klog.InfoS("emulated backend servers started", "step", "start", "servers", len(p.Emulators))
	failed := make(chan error, 1)
	if s.countsAddress != "" {
		go func() { failed <- fasthttp.ListenAndServe(s.countsAddress, countsHandler(p)) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		return nil
	case err := <-failed:
		return zinniatide.WrapStep(err, "serve counts", s.countsAddress)
	}
}

func countsHandler(p *provisioner.Provisioner) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/counts" {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		ctx.SetContentType("application/json")
		if err := json.NewEncoder(ctx).Encode(p.Totals()); err != nil {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		}
	}
}
