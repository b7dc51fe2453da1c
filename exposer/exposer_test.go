package exposer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"zinniatide.example/zinniatide/exposer"
)

// Guards against missing metrics, two servers on one address, and a server that
// still responds after Close.
func TestServesMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "things_total", Help: "Things."})
	registry.MustRegister(counter)
	counter.Add(3)
	e, err := exposer.New("127.0.0.1:0", registry)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := exposer.New(e.Address(), registry); err == nil {
		t.Error("New succeeded on an address in use")
	}
	for path, want := range map[string]int{"/metrics": 200, "/other": 404} {
		response, err := http.Get("http://" + e.Address() + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != want || strings.Contains(string(body), "things_total 3") != (want == 200) {
			t.Errorf("%s: got %d %q, %v", path, response.StatusCode, body, err)
		}
	}
	if err := e.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	if response, err := http.Get("http://" + e.Address() + "/metrics"); err == nil {
		_ = response.Body.Close()
		t.Error("server responds after Close")
	}
}
