package linker

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	links              prometheus.Gauge
	sent               prometheus.Counter
	received           prometheus.Counter
	sentBytes          prometheus.Counter
	receivedBytes      prometheus.Counter
	writes             prometheus.Counter
	rejected           prometheus.Counter
	unknownKinds       prometheus.Counter
	lateReplies        prometheus.Counter
	lostReplies        prometheus.Counter
	timeouts           prometheus.Counter
	closed             prometheus.Counter
	failedDials        prometheus.Counter
	refusedDials       prometheus.Counter
	refusedConnections prometheus.Counter
	handshakePanics    prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "zinniatide", Subsystem: "link", Name: name, Help: help})
		registerer.MustRegister(c)
		return c
	}
	m := &metrics{
		links:              prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "zinniatide", Subsystem: "link", Name: "established", Help: "Links to peers that are up."}),
		sent:               counter("sent_messages_total", "Messages queued for peers."),
		received:           counter("received_messages_total", "Messages received."),
		sentBytes:          counter("sent_bytes_total", "Bytes handed to the transport."),
		receivedBytes:      counter("received_bytes_total", "Bytes of received messages."),
		writes:             counter("writes_total", "Writes to the transport, each of all messages queued."),
		rejected:           counter("rejected_messages_total", "Messages refused because the queue to the peer was full."),
		unknownKinds:       counter("unknown_kinds_total", "Messages received whose kind has no handler."),
		lateReplies:        counter("late_replies_total", "Replies dropped because their call had ended."),
		lostReplies:        counter("lost_replies_total", "Replies that could not be queued."),
		timeouts:           counter("call_timeouts_total", "Calls without an answer in time."),
		closed:             counter("closed_total", "Links closed for any reason."),
		failedDials:        counter("failed_dials_total", "Dials that brought no link."),
		refusedDials:       counter("refused_dials_total", "Dials that the peer refused, such as those of a process that another one of the same VM has replaced."),
		refusedConnections: counter("refused_connections_total", "Accepted connections closed before a link came about."),
		handshakePanics:    counter("handshake_panics_total", "Accepted connections closed because serving their handshake panicked."),
	}
	registerer.MustRegister(m.links)
	return m
}
