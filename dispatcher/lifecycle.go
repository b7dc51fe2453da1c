package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// Start runs Tick in the background, whenever it is due, until Close.
func (d *Dispatcher) Start() {
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		d.ticker.Run(d.stop)
	}()
}

// Close stops ticking, refuses queued requests and closes all connections.
// Running requests end with an unknown outcome. Close must be called only once.
func (d *Dispatcher) Close() {
	close(d.stop)
	d.stopped.Wait()
	d.tickMu.Lock()
	defer d.tickMu.Unlock()
	all := append(d.retired, d.servers.Load().all...)
	d.servers.Store(&serverTable{})
	d.retired = nil
	for _, s := range all {
		s.retire(zinniatide.CodeNotServing, d.options.Clock.Now())
		s.pool.Close()
	}
	for _, s := range all {
		s.pool.Wait()
	}
}

type metrics struct {
	started    prometheus.Counter
	failed     *prometheus.CounterVec
	turnedCold prometheus.Counter
	// leaves counts the processes that said in an answer that they are leaving, pauses
	// the pauses that they asked for.
	leaves, pauses prometheus.Counter
	// invalidAnswers counts responses that were not used, by reason.
	invalidAnswers *prometheus.CounterVec
	servers        prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_dispatcher_started_total", Help: "Sub-requests started on owned backend servers."}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_dispatcher_failed_total", Help: "Sub-requests that ended without an answer, by code."},
			[]string{"code"}),
		leaves: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_backend_leaving_total", Help: "Backend server processes that said in an answer that they are leaving.",
		}),
		pauses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_backend_pauses_total", Help: "Pauses that backend servers asked for when they turned a request away.",
		}),
		invalidAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_backend_invalid_answers_total", Help: "Answers of backend servers that violate HTTP or belong to another request, by reason.",
		}, []string{"reason"}),
		turnedCold: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_dispatcher_turned_cold_total", Help: "Servers that turned cold again."}),
		servers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_dispatcher_servers", Help: "Backend servers owned by this VM."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.started, m.failed, m.turnedCold, m.servers, m.leaves, m.pauses, m.invalidAnswers)
	}
	return m
}
