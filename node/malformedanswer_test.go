package node_test

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/platform"
	"zinniatide.example/zinniatide/querier"
	"zinniatide.example/zinniatide/retrybudget"
)

// Bodies of valid and of malformed answers. On the relay path, each is a record of 16 bytes
// and a remainder.
const (
	validBody     = `{"total":1,"hits":[]}`
	malformedBody = `{"total":9,"hits":[]}`
)

// validAnswers are answers that HTTP defines. HEAD stands for the lines that the protocols
// ask for. Entry VMs take those with a length.
var validAnswers = []string{
	"HTTP/1.1 200 OK\r\nHEADX-Odd_`~|^: \xe9\r\nContent-Length: 21\r\n\r\nBODY",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nHEADX-Odd_`~|^: \xe9\r\nContent-Length: 21\r\n\r\nBODY",
	"HTTP/1.0 200 OK\r\nHEADContent-Encoding: a\r\nContent-Encoding: b\r\nX-Odd_`~|^: \xe9\r\nContent-Length: 21\r\n\r\nBODY",
	"HTTP/1.1 200 OK\r\nHEADX-Odd_`~|^: \xe9\r\nTransfer-Encoding: chunked\r\n\r\n15 ;a=\"b\"\r\nBODY\r\n00\r\nX-T: 1\r\n\r\n",
}

// malformedAnswers are answers that HTTP does not define.
var malformedAnswers = map[string]string{
	"blank in a name":            "HTTP/1.1 200 OK\r\nHEADX Odd: 1\r\nContent-Length: 21\r\n\r\nBODY",
	"blank before a colon":       "HTTP/1.1 200 OK\r\nHEADX-Odd : 1\r\nContent-Length: 21\r\n\r\nBODY",
	"blank before a name":        "HTTP/1.1 200 OK\r\nHEAD X-Odd: 1\r\nContent-Length: 21\r\n\r\nBODY",
	"tab in a name":              "HTTP/1.1 200 OK\r\nHEADX\tOdd: 1\r\nContent-Length: 21\r\n\r\nBODY",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nHEADX-\x01Odd: 1\r\nContent-Length: 21\r\n\r\nBODY",
	"malformed length":           "HTTP/1.1 200 OK\r\nHEADContent-Length : 21\r\n\r\nBODY",
	"malformed coding":           "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding : chunked\r\n\r\n15\r\nBODY\r\n0\r\n\r\n",
	"malformed claim of not run": "HTTP/1.1 503 Full\r\nHEADX-Not-Run : full\r\nX-Outcome : not-run\r\nContent-Length: 0\r\n\r\n",
	"malformed interim answer":   "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nHEADContent-Length: 21\r\n\r\nBODY",
	"after an interim answer":    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nHEADX Odd: 1\r\nContent-Length: 21\r\n\r\nBODY",
	"malformed trailer":          "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n15\r\nBODY\r\n0\r\nX Odd: 1\r\n\r\n",
	"blank after a chunk size":   "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n15 \r\nBODY\r\n0\r\n\r\n",
	"control byte after a size":  "HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n15;\x01\r\nBODY\r\n0\r\n\r\n",
	"ids in a trailer":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nBODY\r\n0\r\nHEAD\r\n",
	"coding in HTTP/1.0":         "HTTP/1.0 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n15\r\nBODY\r\n0\r\n\r\n",
	"coding and length in 1.0":   "HTTP/1.0 200 OK\r\nHEADContent-Length: 21\r\nTransfer-Encoding: chunked\r\n\r\n15\r\nBODY\r\n0\r\n\r\n",
	"id of another request":      "HTTP/1.1 200 OK\r\nHEADX-Request-Id: another\r\nContent-Length: 21\r\n\r\nBODY",
	"two content types":          "HTTP/1.1 200 OK\r\nHEADContent-Type: a/b\r\nContent-Type: c/d\r\nContent-Length: 21\r\n\r\nBODY",
	"status 000":                 "HTTP/1.1 000 Odd\r\nHEADContent-Length: 21\r\n\r\nBODY",
}

// answerStep is an answer of a scriptedBackend and the delay before it.
type answerStep struct {
	delay     time.Duration
	raw, body string
}

// scriptedBackend is a set of backend servers of either protocol. They answer the n-th
// request with some id for a shard with the n-th step, and later ones with the last step.
type scriptedBackend struct {
	t     *testing.T
	mu    sync.Mutex
	steps []answerStep
	seen  map[string]int // requests by shard and id since the steps were set
}

func newScriptedBackend(t *testing.T) *scriptedBackend {
	return &scriptedBackend{t: t, steps: []answerStep{valid}, seen: map[string]int{}}
}

// listen starts a server of a shard and returns its address.
func (b *scriptedBackend) listen(shard string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, shard)
		}
	}()
	return l.Addr().String()
}

func (b *scriptedBackend) serve(c net.Conn, shard string) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		step, head := valid, "X-Incarnation: 1\r\n"
		if req.URL.Path != "/v1/cancel" {
			step = b.next(shard+req.Header.Get("X-First-Key"), req.Header.Get("X-Request-Id"))
		}
		for _, name := range []string{"X-Request-Id", "X-Index-Version", "X-First-Key", "X-Last-Key"} {
			if value := req.Header.Get(name); value != "" {
				head += name + ": " + value + "\r\n"
			}
		}
		head += fmt.Sprintf("%s: %s%s\r\n", platform.HeaderServerStamp, shard, step.body[9:10])
		time.Sleep(step.delay)
		if _, err := io.WriteString(c, strings.NewReplacer("HEAD", head, "BODY", step.body).Replace(step.raw)); err != nil || step.body == malformedBody {
			return
		}
	}
}

func (b *scriptedBackend) next(shard, id string) answerStep {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen[shard+" "+id]++
	return b.steps[min(b.seen[shard+" "+id], len(b.steps))-1]
}

// script sets the steps for the requests that follow.
func (b *scriptedBackend) script(steps []answerStep) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steps = steps
	clear(b.seen)
}

// requests returns the largest number of requests with one id that a shard has got since
// the steps were set. Searches reach servers with an id of the VM's own.
func (b *scriptedBackend) requests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0
	for _, n := range b.seen {
		most = max(most, n)
	}
	return most
}

// scenario is a request and the answers of its servers. Steps without an answer stand for
// a malformed one.
type scenario struct {
	path         string
	steps        []answerStep
	status       int
	mostRequests int // for a shard
}

// validContent is what answers contain that are made of valid answers, by path.
var validContent = map[string]string{
	"plain": "\xe9\r\n", "once": "\xe9\r\n", "gather": validBody[:16] + validBody[:16], "remote": validBody[:16] + validBody[:16],
	"search": `"total":2`, "execute": validBody,
}

// checkScenarios sends a request for each scenario and each malformed answer, and checks
// what its caller receives.
func (b *scriptedBackend) checkScenarios(scenarios map[string]scenario, ask func(path, id string) (int, string)) {
	number := 0
	for name, scenario := range scenarios {
		for defect, raw := range malformedAnswers {
			var steps []answerStep
			for _, step := range scenario.steps {
				steps = append(steps, answerStep{step.delay, cmp.Or(step.raw, raw), cmp.Or(step.body, malformedBody)})
			}
			number++
			id := fmt.Sprintf("%d-%08d", time.Now().Add(time.Minute).UnixMilli(), number)
			b.script(steps)
			status, answer := ask(scenario.path, id)
			// Requests whose servers are still busy with late answers may be refused.
			for tries := 0; status == 503 && b.requests() == 0 && tries < 20; tries++ {
				time.Sleep(100 * time.Millisecond)
				status, answer = ask(scenario.path, id)
			}
			if status != scenario.status || status == 200 && !strings.Contains(answer, validContent[scenario.path]) {
				b.t.Errorf("%s, %s: got status %d and %q, want status %d", name, defect, status, answer, scenario.status)
			}
			if got := b.requests(); got == 0 || got > scenario.mostRequests {
				b.t.Errorf("%s, %s: got %d requests for a shard, want 1 to %d", name, defect, got, scenario.mostRequests)
			}
		}
	}
}

// exchange sends a request on a connection of its own and returns the status and all bytes
// of the answer. The status is 0 if there is no complete answer.
func exchange(address, request string) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err.Error()
	}
	var raw bytes.Buffer
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, raw.String()
}

// answerLog receives the log of the tests in this file.
var answerLog lockedBuffer

// checkReports checks that the VMs have counted each invalid answer and written one line
// for it, which names the server and the reason but has no bytes of the answer. It returns
// a function to call after the answers.
func checkReports(t *testing.T, step string, reasons ...string) func(registries ...*prometheus.Registry) {
	klog.LogToStderr(false)
	klog.SetOutput(&answerLog)
	line := regexp.MustCompile(`"backend server sent an invalid answer" step="` + step + `" .*(?:server|peer)="[is][0-9]+" .*address="127.0.0.1:[0-9]+" reason="([a-z-]+)"\n`)
	lines := func() map[string]int {
		klog.Flush()
		n := map[string]int{}
		for _, match := range line.FindAllStringSubmatch(answerLog.String(), -1) {
			n[match[1]]++
		}
		return n
	}
	before := lines()
	return func(registries ...*prometheus.Registry) {
		awaitTrue(t, "a line and a count for each invalid answer", 10*time.Second, func() bool {
			counted, written := map[string]int{}, lines()
			for _, registry := range registries {
				families, err := registry.Gather()
				if err != nil {
					t.Fatal(err)
				}
				for _, family := range families {
					for _, m := range family.GetMetric() {
						if family.GetName() == "zinniatide_backend_invalid_answers_total" {
							counted[m.GetLabel()[0].GetValue()] += int(m.GetCounter().GetValue())
						}
					}
				}
			}
			equal := len(counted) == len(reasons)
			for _, reason := range reasons {
				equal = equal && counted[reason] > 0 && counted[reason] == written[reason]-before[reason]
			}
			return equal
		})
		for _, raw := range []string{"Odd", "Early"} {
			if strings.Contains(answerLog.String(), raw) {
				t.Errorf("got %q of an answer in the log", raw)
			}
		}
	}
}

// Steps of scenarios.
var (
	malformed     = answerStep{}
	valid         = answerStep{raw: validAnswers[0], body: validBody}
	lateMalformed = answerStep{delay: 60 * time.Millisecond}
	lateValid     = answerStep{delay: 150 * time.Millisecond, raw: validAnswers[0], body: validBody}
	// These come after the hedge of a query to another zone. A delegate answers a hedge
	// before the cutoff of the query or not at all.
	laterMalformed = answerStep{delay: 200 * time.Millisecond}
	laterValid     = answerStep{delay: 200 * time.Millisecond, raw: validAnswers[0], body: validBody}
)

// Guards against answers that HTTP does not define and that reach callers of a relay VM.
func TestMalformedAnswersDoNotReachCallers(t *testing.T) {
	t.Parallel()
	check := checkReports(t, "relay", "status-line", "field-name", "repeated-field", "framing", "chunk-size", "other-request")
	seed := zinniatide.VMID(node.FreeAddress(t))
	seeds := []zinniatide.ControlVM{{VM: seed, PeerAddress: string(seed)}}
	_, control := startRolloutVM(t, node.RelayConfig{VM: seed, ControlAddress: "unused", DataFolder: t.TempDir(), FirstStart: true, Seeds: seeds}, nil)
	callers, budget := node.FreeAddress(t), retrybudget.Config{Ratio: 1, Slack: 1000, Window: 10_000}
	registries := []*prometheus.Registry{prometheus.NewRegistry(), prometheus.NewRegistry()}
	relay, _ := startMeasuredVM(t, node.RelayConfig{VM: zinniatide.VMID(node.FreeAddress(t)), CallerAddress: callers, Seeds: seeds, Budget: budget}, nil, registries[0])
	delegate := zinniatide.VMID(node.FreeAddress(t))
	startMeasuredVM(t, node.RelayConfig{VM: delegate, Zone: "b", CallerAddress: node.FreeAddress(t), Seeds: seeds, Budget: budget}, nil, registries[1])

	b := newScriptedBackend(t)
	const limit = 40 * time.Second // an order above what an idle machine needs
	document := `{"version":1,"routes":[`
	for path, rest := range map[string]string{
		"plain":  `"kind":"idempotent","target_latency_ms":100,"service":"s1"`,
		"once":   `"kind":"non_idempotent","target_latency_ms":100,"service":"s2"`,
		"gather": `"kind":"idempotent","target_latency_ms":100,"gather":["s3","s4"],"top_k":5,"min_version":1`,
		"remote": `"kind":"idempotent","target_latency_ms":500,"gather":["s5","s6"],"top_k":5,"min_version":1`,
	} {
		document += fmt.Sprintf(`{"name":%[1]q,"host":"h","path_prefix":"/%[1]s/","timeout_ms":5000,"max_attempts":2,%[2]s},`, path, rest)
	}
	document = strings.TrimSuffix(document, ",") + `],"services":[`
	for i := range 6 {
		document += fmt.Sprintf(`{"name":"s%d","health_path":"/","max_conns":64},`, i+1)
	}
	document = strings.TrimSuffix(document, ",") + `],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
	awaitTrue(t, "routing table", limit, func() bool { return send(t, "POST", "http://"+control+"/v1/config/put", document) == 200 })
	for i := range 12 {
		service, zone := fmt.Sprint("s", i/2+1), "a"
		if i >= 8 {
			zone = "b"
		}
		heartbeat := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"1","slots":8,"state":"ready","cold_left_ms":0,"seq":1,"born":1}`, service, b.listen(service), zone)
		if got := send(t, "POST", fmt.Sprintf("http://%s/v1/instances/i%d/heartbeat", control, i), heartbeat); got != 200 {
			t.Fatalf("got status %d for a heartbeat, want 200", got)
		}
	}
	awaitTrue(t, "link to the delegate", limit, func() bool { return relay.Ready() && relay.Connected(delegate) })
	ask := func(path, id string) (int, string) {
		return exchange(callers, fmt.Sprintf("GET /%s/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", path, id))
	}
	for i, path := range []string{"plain", "once", "gather", "remote"} {
		b.script([]answerStep{valid})
		awaitTrue(t, "answer to "+path, limit, func() bool { status, _ := ask(path, "first"); return status == 200 })
		for n := range 32 { // so that the VM hedges by measured latencies
			raw := validAnswers[n%len(validAnswers)]
			b.script([]answerStep{{raw: raw, body: validBody}})
			status, answer := ask(path, fmt.Sprintf("warm-%d-%d", i, n))
			if status != 200 || !strings.Contains(answer, validContent[path]) || strings.Contains(answer, "Content-Type") {
				t.Errorf("%s: got status %d and %q for valid answers, want them and no other field", path, status, answer)
			}
			coded := i < 2 && strings.Contains(raw, "Content-Encoding")
			if coded && !strings.Contains(answer, "Content-Encoding: a, b\r\n") {
				t.Errorf("%s: got %q, want both codings", path, answer)
			}
		}
	}
	b.checkScenarios(map[string]scenario{
		"first send":               {"plain", []answerStep{malformed, valid}, 200, 2},
		"all sends":                {"plain", []answerStep{malformed}, 502, 2},
		"non-idempotent":           {"once", []answerStep{malformed, valid}, 502, 1},
		"hedge":                    {"plain", []answerStep{lateValid, malformed}, 200, 2},
		"late answer":              {"plain", []answerStep{lateMalformed, lateValid}, 200, 2},
		"part":                     {"gather", []answerStep{malformed, valid}, 200, 2},
		"all parts":                {"gather", []answerStep{malformed}, 502, 2},
		"hedged part":              {"gather", []answerStep{lateValid, malformed}, 200, 2},
		"late part":                {"gather", []answerStep{lateMalformed, lateValid}, 200, 2},
		"part of a delegate":       {"remote", []answerStep{malformed, valid}, 200, 2},
		"all parts of a delegate":  {"remote", []answerStep{malformed}, 502, 2},
		"late part of a delegate":  {"remote", []answerStep{laterMalformed, valid}, 200, 2},
		"late parts of a delegate": {"remote", []answerStep{laterMalformed}, 502, 2},
		"hedge of a delegate":      {"remote", []answerStep{laterValid, malformed}, 200, 2},
	}, ask)
	check(registries...)
}

// Guards against answers that HTTP does not define and that reach callers of an entry VM.
func TestMalformedAnswersDoNotReachCallersOfEntryVMs(t *testing.T) {
	t.Parallel()
	check := checkReports(t, "dispatch", "status-line", "field-name", "repeated-field", "framing", "no-length")
	folder, control := t.TempDir(), zinniatide.ControlVM{VM: "e1", PeerAddress: node.FreeAddress(t)}
	if err := logkeeper.Init(journal.OSFileSystem{}, folder, control.VM, []zinniatide.ControlVM{control}); err != nil {
		t.Fatal(err)
	}
	query := querier.DefaultConfig()
	query.HedgeFraction, query.RetryFraction, query.RetryBurst = 1, 1, 1000
	var vms []*node.Node
	var addresses []string
	var registries []*prometheus.Registry
	for i, peer := range []string{control.PeerAddress, node.FreeAddress(t)} {
		addresses, registries = append(addresses, node.FreeAddress(t)), append(registries, prometheus.NewRegistry())
		n, err := node.New(node.Config{VM: zinniatide.VMID(fmt.Sprint("e", i+1)), Zone: "z", Entry: true, Control: i == 0, HTTPAddress: addresses[i],
			PeerAddress: peer, DataFolder: folder, ControlVMs: []zinniatide.ControlVM{control}, Query: query}, clock.New(), registries[i])
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Kill)
		vms = append(vms, n)
	}
	const limit = 40 * time.Second
	ticket := `{"ticket":1,"availability-zones":{"z":{"state":"in"}},"services":{"search":{"versions":[{"version":1,"shard-count":2}],"slots":8,"connections":25,
		"cold-start":{"initial-rate":1000,"double-after":1,"full-rate":1000},"classes":{"c":{"max-deadline-ms":3000,"weight":1}},"tenants":{"t":{"share":1}}}}}`
	awaitTrue(t, "ticket", limit, func() bool { _, err := vms[0].Operator().FileTicket([]byte(ticket), false, 2000); return err == nil })

	b := newScriptedBackend(t)
	stop, stopped := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-stopped })
	const replicas = 4 // of each shard; a search asks each of them once at most
	var announcements [][]byte
	for i := range replicas {
		offer := zinniatide.ServiceOffer{Service: "search", Searchers: []zinniatide.Searcher{
			{Version: 1, KeyRange: zinniatide.KeyRange{End: zinniatide.KeySpace / 2}}, {Version: 1, KeyRange: zinniatide.KeyRange{First: zinniatide.KeySpace / 2, End: zinniatide.KeySpace}}}}
		raw, err := json.Marshal(zinniatide.Announcement{Server: zinniatide.BackendServerID(fmt.Sprint("s", i)), Incarnation: 1, Zone: "z",
			Address: b.listen(""), Slots: 8, Connections: 25, Offers: []zinniatide.ServiceOffer{offer}})
		if err != nil {
			t.Fatal(err)
		}
		announcements = append(announcements, raw)
	}
	go func() {
		defer close(stopped)
		for {
			for _, raw := range announcements {
				resp, err := http.Post("http://"+addresses[0]+"/v1/announce", "application/json", bytes.NewReader(raw)) //nolint:noctx // on loopback
				if err == nil {
					_ = resp.Body.Close()
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(zinniatide.AnnounceInterval.Duration()):
			}
		}
	}()
	askOf := func(address string) func(path, id string) (int, string) {
		return func(path, id string) (int, string) {
			body := fmt.Sprintf(`{"request-id":%q,"service":"search","tenant":"t","class":"c","deadline-ms":3000,"query":{}}`, id)
			if path == "execute" {
				body = strings.Replace(body, `"query":{}`, `"key":1,"body":{}`, 1)
			}
			return exchange(address, fmt.Sprintf("POST /v1/%s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body))
		}
	}
	for i, address := range addresses {
		for _, raw := range validAnswers[:3] {
			b.script([]answerStep{{raw: raw, body: validBody}})
			awaitTrue(t, "valid answer", limit, func() bool {
				status, answer := askOf(address)("search", "first")
				return status == 200 && strings.Contains(answer, validContent["search"]) && len(vms[i].Catalog().Servers) == len(announcements)
			})
		}
		b.checkScenarios(map[string]scenario{
			"first send":     {"search", []answerStep{malformed, valid}, 200, replicas},
			"all sends":      {"search", []answerStep{malformed}, 502, replicas},
			"non-idempotent": {"execute", []answerStep{malformed, valid}, 502, 1},
			"hedge":          {"search", []answerStep{lateValid, malformed, valid}, 200, replicas},
			"late answer":    {"search", []answerStep{lateMalformed, lateValid}, 200, replicas},
		}, askOf(address))
	}
	check(registries...)
}
