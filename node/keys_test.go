package node_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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
)

// testKey begins all keys of the test.
const testKey = "k3y-5ecret"

// headBackend is a backend server that records the headers of its requests and answers
// requests for paths that end in "slow" when release is closed.
type headBackend struct {
	mu      sync.Mutex
	headers []http.Header
	release chan struct{}
	arrived chan struct{} // receives an element for each slow request
}

func (b *headBackend) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b.mu.Lock()
	b.headers = append(b.headers, req.Header.Clone())
	b.mu.Unlock()
	if strings.HasSuffix(req.URL.Path, "slow") {
		b.arrived <- struct{}{}
		<-b.release
	}
	w.Header().Set(platform.HeaderRequestID, req.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderServerStamp, "stamp")
	_, _ = io.WriteString(w, "done")
}

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// keysDocument returns a routing document in which a workspace has the given keys.
func keysDocument(version int, keys ...string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"closed","host":"h","path_prefix":"/closed/","kind":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"s"},
		{"name":"open","host":"h","path_prefix":"/open/","kind":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"s","public":true}],
		"services":[{"name":"s","health_path":"/","max_conns":50}],
		"tenants":[{"name":"acme","api_keys":["%s"]}]}`, version, strings.Join(keys, `","`))
}

// callerConn is a kept connection of a caller.
type callerConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dialCaller(t *testing.T, address string) *callerConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return &callerConn{t, c, bufio.NewReader(c)}
}

func (c *callerConn) send(path, key string) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nX-Deadline-Ms: 5000\r\nX-Tenant: evil\r\nAuthorization: Token %s\r\n\r\n", path, key); err != nil {
		c.t.Fatal(err)
	}
}

// status reads one answer.
func (c *callerConn) status() int {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards, over the whole way from the operator's document to a backend server, against a
// removed key that is admitted on a connection that was kept open with it, against
// requests with it that are cut off while they run, and against keys at servers, in log
// lines, metrics and errors. Callers and operators also send what cannot be parsed.
func TestKeysOverTheWholeWay(t *testing.T) {
	logs := &lockedBuffer{}
	klog.LogToStderr(false)
	klog.SetOutput(logs)
	t.Cleanup(func() { klog.LogToStderr(true) })
	backend := &headBackend{release: make(chan struct{}), arrived: make(chan struct{}, 4)}
	backendListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: backend, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(backendListener) }()
	t.Cleanup(func() { _ = server.Close() })

	self := zinniatide.VMID(node.FreeAddress(t))
	seeds := []zinniatide.ControlVM{{VM: self, PeerAddress: string(self)}}
	folder := t.TempDir()
	if err := logkeeper.Init(journal.OSFileSystem{}, folder, self, seeds); err != nil {
		t.Fatal(err)
	}
	control := startControlVM(t, self, seeds, folder)
	t.Cleanup(control.Kill)
	registry, callers, ready := prometheus.NewRegistry(), node.FreeAddress(t), node.FreeAddress(t)
	relay, err := node.NewRelay(node.RelayConfig{VM: zinniatide.VMID(node.FreeAddress(t)), Zone: "a", CallerAddress: callers, Seeds: seeds, Voters: 1,
		CallerNames: platform.CallerHeaders(), RelayNames: platform.ResponseHeaders(), BackendNames: platform.BackendHeaders()}, clock.New(), registry)
	if err != nil {
		t.Fatal(err)
	}
	if err := relay.Start([]node.Endpoint{{Address: ready, Handler: platform.NewReadinessHandler(relay.Ready)}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Kill)

	sequence := 0
	enroll := func() {
		sequence++
		body := fmt.Sprintf(`{"service":"s","addr":%q,"zone":"a","version":"1","slots":8,"state":"ready","cold_left_ms":0,"seq":%d,"born":1}`, backendListener.Addr(), sequence)
		send(t, "POST", "http://"+control.control+"/v1/instances/i1/heartbeat", body)
	}
	put := func(document string) (int, string) {
		resp, err := http.Post("http://"+control.control+"/v1/config/put", "application/json", strings.NewReader(document)) //nolint:noctx // bounded by the test
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(body)
	}
	// await repeats f for as long as a process may take to start.
	await := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s did not happen in time; log:\n%s", what, logs.String())
			}
		}
	}
	await("the first table", func() bool { status, _ := put(keysDocument(1, testKey+"-1", testKey+"-2")); return status == 200 })
	kept := dialCaller(t, callers)
	await("an answer", func() bool {
		enroll()
		kept.send("/closed/x", testKey+"-1")
		return kept.status() == 200
	})

	// The key is removed while a request with it runs and another connection is kept open.
	running := dialCaller(t, callers)
	running.send("/closed/slow", testKey+"-1")
	<-backend.arrived
	half := dialCaller(t, callers)
	if _, err := io.WriteString(half, "POST /closed/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nAuthorization: Token "+testKey+"-1\r\nContent-Length: 2\r\n\r\na"); err != nil {
		t.Fatal(err)
	}
	if status, body := put(keysDocument(2, testKey+"-2", testKey+"-3")); status != 200 {
		t.Fatalf("got status %d %s, want 200", status, body)
	}
	await("a refusal on the kept connection", func() bool { kept.send("/closed/x", testKey+"-1"); return kept.status() == 401 })
	for _, row := range []struct {
		path, key string
		want      int
	}{
		{"/closed/x", "-1", 401}, {"/closed/x", "-2", 200}, {"/closed/x", "-3", 200}, {"/closed/x", "-4", 401}, {"/open/x", "-1", 200}, {"/open/x", "-2", 200},
	} {
		kept.send(row.path, testKey+row.key)
		if got := kept.status(); got != row.want {
			t.Errorf("%s with key %s on the kept connection: got status %d, want %d", row.path, row.key, got, row.want)
		}
	}
	if _, err := io.WriteString(half, "b"); err != nil {
		t.Fatal(err)
	}
	if got := half.status(); got != 401 {
		t.Errorf("got status %d of a request of which a part arrived before its key was removed, want 401", got)
	}
	close(backend.release)
	if got := running.status(); got != 200 {
		t.Errorf("got status %d of the request that ran while its key was removed, want 200", got)
	}
	running.send("/closed/x", testKey+"-1")
	if got := running.status(); got != 401 {
		t.Errorf("got status %d of the next request on its connection, want 401", got)
	}

	var shown []string // errors
	shown = append(shown, sendMalformed(t, callers, ready, control.control)...)
	for name, document := range map[string]string{
		"shared":       strings.Replace(keysDocument(3, testKey), `"tenants":[`, `"tenants":[{"name":"other","api_keys":["`+testKey+`"]},`, 1),
		"wrong type":   strings.Replace(keysDocument(3, testKey), `["`+testKey+`"]`, `"`+testKey+`"`, 1),
		"cut off":      keysDocument(3, testKey)[:len(keysDocument(3, testKey))-5],
		"key as field": strings.Replace(keysDocument(3, testKey), `"api_keys":`, `"`+testKey+`":`, 1) + "x",
	} {
		status, body := put(document)
		if status != 400 {
			t.Errorf("%s: got status %d, want 400", name, status)
		}
		shown = append(shown, body)
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	workspaces := map[string]int{}
	for _, h := range backend.headers {
		if len(h["Authorization"]) > 0 || len(h["X-Tenant"]) > 1 {
			t.Errorf("got headers %v at a server, want no key and at most one workspace", h)
		}
		workspaces[h.Get("X-Tenant")]++
	}
	if workspaces["acme"] < 4 || workspaces[""] == 0 || len(workspaces) != 2 {
		t.Errorf("got requests by workspace %v, want those with a known key as acme", workspaces)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		shown = append(shown, family.String())
	}
	klog.Flush()
	for _, line := range append(strings.Split(logs.String(), "\n"), shown...) {
		if strings.Contains(line, testKey) {
			t.Errorf("got %q, want no key", line)
		}
	}
	for _, want := range []string{"submitted routing document", "rejected invalid routing document", "request refused", "invalid request", "a request could not be read or answered"} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("got no log line %q, so that this test shows nothing of it", want)
		}
	}
}

// sendMalformed sends heads with a key that cannot be parsed to the addresses and returns
// the answers.
func sendMalformed(t *testing.T, addresses ...string) []string {
	t.Helper()
	var out []string
	for _, request := range []string{
		"GET /closed/x HTTP/1.1\r\nHost: h\r\nAuthorization Token " + testKey + "\r\n\r\n",
		"GET /closed/x HTTP/1.1\r\nHost: h\r\nAuthorization : Token " + testKey + "\r\n\r\n",
		"GET /closed/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token " + testKey + "\x00\r\n\r\n",
		"GET /closed/x HTTP/1.1\r\nHost: h\r\n" + testKey + "\x00: x\r\n\r\n",
		"GET /closed/x HTTP/1.1\r\nHost: h\r\nContent-Length: " + testKey + "\r\nAuthorization: Token " + testKey + "\r\n\r\n",
		"GET /closed/x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 64<<10) + "\r\nAuthorization: Token " + testKey + "\r\n\r\n",
		"POST /closed/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: Authorization\r\n\r\n0\r\nAuthorization: Token " + testKey + "\r\n\r\n",
		testKey + "\r\n\r\n",
		"GET /closed/x " + testKey + "\r\nHost: h\r\n\r\n",
	} {
		for _, address := range slices.Clone(addresses) {
			c := dialCaller(t, address)
			_, _ = io.WriteString(c, request) // the server may close the connection meanwhile
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			answer, _ := io.ReadAll(c) // what has arrived before a reset
			out = append(out, string(answer))
		}
	}
	return out
}
