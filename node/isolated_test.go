package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/clock"
	"zinniatide.example/zinniatide/journal"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/node"
	"zinniatide.example/zinniatide/platform"
)

// controlVM is a control VM with the endpoints of the platform.
type controlVM struct {
	*node.Relay
	control, directory string
}

// startControlVM starts one of the control VMs in seeds.
func startControlVM(t *testing.T, self zinniatide.VMID, seeds []zinniatide.ControlVM, folder string) *controlVM {
	t.Helper()
	r, err := node.NewRelay(node.RelayConfig{VM: self, Zone: "a", ControlAddress: node.FreeAddress(t), DataFolder: folder, Seeds: seeds, Voters: len(seeds)},
		clock.New(), prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	vm := &controlVM{r, node.FreeAddress(t), node.FreeAddress(t)}
	if err := r.Start([]node.Endpoint{
		{Address: vm.control, Handler: platform.NewControlHandler(r.Operator(), r.Enroller(), r.HeartbeatAddress)},
		{Address: vm.directory, Handler: platform.NewDirectoryHandler(r.Addresses, 1000)},
	}); err != nil {
		t.Fatal(err)
	}
	return vm
}

// testCall is a call of the users' protocol to a control VM.
type testCall struct{ name, method, path, body string }

func heartbeat(name, state string, seq int) testCall {
	return testCall{name, "POST", "/v1/instances/i1/heartbeat",
		fmt.Sprintf(`{"service":"s","addr":"127.0.0.1:9","zone":"a","version":"1","slots":2,"state":%q,"cold_left_ms":0,"seq":%d,"born":1}`, state, seq)}
}

var testCalls = []testCall{
	{"put", "POST", "/v1/config/put", `{"version":1,"routes":[],"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`},
	{"get", "GET", "/v1/config/get", ""},
	heartbeat("ready", "ready", 1),
	heartbeat("draining", "draining", 2),
	{"leave", "POST", "/v1/instances/i1/leave", `{"born":1}`},
	{"evacuate", "POST", "/v1/evacuate/a/start", ""},
	{"end of evacuation", "POST", "/v1/evacuate/a/end", ""},
	{"resolve", "GET", "/v1/resolve?zone=a", ""},
}

// checkRefusals sends all calls to a control VM and checks that it answers 503 to all
// but those named.
func (vm *controlVM) checkRefusals(t *testing.T, accepted ...string) {
	t.Helper()
	for _, call := range testCalls {
		address, want := vm.control, fasthttp.StatusServiceUnavailable
		if call.name == "resolve" {
			address = vm.directory
		}
		if slices.Contains(accepted, call.name) {
			want = fasthttp.StatusOK
		}
		if got := send(t, call.method, "http://"+address+call.path, call.body); got != want {
			t.Errorf("%s: got status %d, want %d", call.name, got, want)
		}
	}
}

// electionTime is longer than an election of the only voter needs.
const electionTime = 1500 * time.Millisecond

// Guards against a control VM that answers for all although it reaches no other one:
// with an empty data folder, as the only voter of a new log, and after the loss of the
// others.
func TestIsolatedControlVMDecidesNothing(t *testing.T) {
	self := zinniatide.VMID(node.FreeAddress(t))
	seeds := []zinniatide.ControlVM{{VM: self, PeerAddress: string(self)}}
	for range 2 {
		other := node.FreeAddress(t)
		seeds = append(seeds, zinniatide.ControlVM{VM: zinniatide.VMID(other), PeerAddress: other})
	}
	empty := startControlVM(t, self, seeds, t.TempDir())
	time.Sleep(electionTime)
	empty.checkRefusals(t)
	empty.Kill()

	folder := t.TempDir()
	if err := logkeeper.Init(journal.OSFileSystem{}, folder, self, seeds); err != nil {
		t.Fatal(err)
	}
	first := startControlVM(t, self, seeds, folder)
	time.Sleep(electionTime)
	// A ready server is taken note of by a VM that has a configuration: the others learn
	// of it from the next digest.
	first.checkRefusals(t, "ready")

	var others []*controlVM
	for _, vm := range seeds[1:] {
		others = append(others, startControlVM(t, vm.VM, seeds, t.TempDir()))
	}
	put, end := testCalls[0], time.Now().Add(20*time.Second)
	for send(t, put.method, "http://"+first.control+put.path, put.body) != fasthttp.StatusOK {
		if time.Now().After(end) {
			t.Fatal("the control VMs formed no log in time")
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, vm := range others {
		vm.Kill()
	}
	time.Sleep(electionTime) // longer than the lease of a leader
	first.checkRefusals(t, "ready")
	first.Kill()
}

// send returns the status of the answer to a request.
func send(t *testing.T, method, url, body string) int {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode()
}
