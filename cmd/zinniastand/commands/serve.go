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

// serve runs all stand-ins of a layout in one process.
type serve struct {
	command *cobra.Command
	layout  string
	entries []string
	counts  string
	seed    uint64
}

func newServe() *serve {
	s := &serve{}
	s.command = &cobra.Command{
		Use: "serve", Short: "Run the stand-in backend servers of a layout until terminated",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return s.run() },
	}
	flags := s.command.Flags()
	flags.StringVar(&s.layout, "layout", "", "layout file (JSON)")
	flags.StringSliceVar(&s.entries, "entries", nil, "HTTP addresses of entry VMs")
	flags.StringVar(&s.counts, "counts-address", "", "IP:port that serves GET /counts")
	flags.Uint64Var(&s.seed, "seed", 1, "seed of the random run times")
	return s
}

func (s *serve) run() error {
	data, err := os.ReadFile(s.layout)
	if err != nil {
		return zinniatide.WrapStep(err, "read layout", s.layout)
	}
	layout, err := provisioner.Decode(data)
	if err != nil {
		return zinniatide.WrapStep(err, "decode layout", s.layout)
	}
	p, err := provisioner.New(layout, s.entries, s.seed)
	if err != nil {
		return err
	}
	defer p.Close()
	klog.InfoS("stand-ins started", "step", "start", "servers", len(p.Servers))
	failed := make(chan error, 1)
	if s.counts != "" {
		go func() { failed <- fasthttp.ListenAndServe(s.counts, countsHandler(p)) }()
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		return nil
	case err := <-failed:
		return zinniatide.WrapStep(err, "serve counts", s.counts)
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
