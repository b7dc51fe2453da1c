package dispatcher

import (
	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide"
)

// Start runs Tick when it is due until Close.
func (d *Dispatcher) Start() {
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		d.ticker.Run(d.stop)
	}()
}

// Close stops the ticks, refuses what waits and closes all connections.
// Requests that run end as unknown. A Dispatcher is closed once.
func (d *Dispatcher) Close() {
	close(d.stop)
	d.stopped.Wait()
	d.tickMu.Lock()
	defer d.tickMu.Unlock()
	all := append(d.closing, d.servers.Load().all...)
	d.servers.Store(&table{})
	d.closing = nil
	for _, s := range all {
		s.retire(zinniatide.CodeNotServing, d.o.Clock.Now())
		s.pool.Close()
	}
	for _, s := range all {
		s.pool.Wait()
	}
}

type metrics struct {
	started    prometheus.Counter
	ended      *prometheus.CounterVec
	turnedCold prometheus.Counter
	servers    prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		started: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_dispatcher_started_total", Help: "Sub-requests started on owned backend servers."}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinniatide_dispatcher_failed_total", Help: "Sub-requests that ended without an answer, by code."},
			[]string{"code"}),
		turnedCold: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "zinniatide_dispatcher_turned_cold_total", Help: "Servers that turned cold again."}),
		servers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "zinniatide_dispatcher_servers", Help: "Backend servers owned by this VM."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.started, m.ended, m.turnedCold, m.servers)
	}
	return m
}
