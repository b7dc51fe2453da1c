package members

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// Host runs two follower control VMs and a number of member VMs. A scenario in
// another process runs the control leader and controls the host over HTTP, so
// that the CPU time of the leader can be measured separately.
type Host struct {
	dataDir       string
	registry      *prometheus.Registry
	mu            sync.Mutex
	followers     []zinniatide.ControlVM
	controlVMs    []zinniatide.ControlVM
	followerNodes []*ControlNode
	members       []*member
}

// Usage is the resource use and state of the process of a Host.
type Usage struct {
	Members int              `json:"members"`
	CPU     time.Duration    `json:"cpu"`
	Heap    uint64           `json:"heap"`   // live heap objects and stacks in bytes
	Epoch   zinniatide.Epoch `json:"epoch"`  // lowest epoch installed by a member
	Leased  int              `json:"leased"` // members that ever received a lease, even if it has expired
	// LeaseLeft is the shortest remaining lease of all members.
	LeaseLeft zinniatide.Millis  `json:"lease-left-ms"`
	Counters  map[string]float64 `json:"counters"`
}

// NewHost returns a host without members.
func NewHost() (*Host, error) {
	folder, err := os.MkdirTemp("", "zinniabench-")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "create folder", "members")
	}
	return &Host{dataDir: folder, registry: prometheus.NewRegistry()}, nil
}

// Serve serves the HTTP interface on address. It returns only on failure.
func (h *Host) Serve(address string) error {
	return zinniatide.WrapStep(fasthttp.ListenAndServe(address, h.handle), "serve", address)
}

// Close stops all VMs and removes their data folders.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.members {
		m.close()
	}
	for _, v := range h.followerNodes {
		v.Close()
	}
	_ = os.RemoveAll(h.dataDir)
}

// handle serves the calls of a scenario, in this order: /reserve,
// /start?leader=ADDRESS, /resize?members=N, and then any of
// /claims?workers=N&ms=N and /usage (with collect, also the heap).
func (h *Host) handle(ctx *fasthttp.RequestCtx) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var value any
	var err error
	number := func(name string) int {
		n, parseErr := strconv.Atoi(string(ctx.QueryArgs().Peek(name)))
		err = errors.Join(err, zinniatide.WrapStep(parseErr, "read parameter", name))
		return n
	}
	switch string(ctx.Path()) {
	case "/reserve":
		value, err = h.reserve()
	case "/start":
		err = h.startFollowers(zinniatide.ControlVM{VM: "c1", PeerAddress: string(ctx.QueryArgs().Peek("leader"))})
	case "/resize":
		if n := number("members"); err == nil {
			err = h.resize(n)
		}
	case "/claims":
		if workers, run := number("workers"), number("ms"); err == nil {
			value, err = h.runClaims(workers, time.Duration(run)*time.Millisecond)
		}
	case "/usage":
		value, err = h.usage(ctx.QueryArgs().Has("collect"))
	default:
		err = errors.New("unknown path")
	}
	if err == nil {
		err = json.NewEncoder(ctx).Encode(value)
	}
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// reserve assigns a listen address to each follower.
func (h *Host) reserve() ([]zinniatide.ControlVM, error) {
	h.followers = nil
	for _, id := range []zinniatide.VMID{"c2", "c3"} {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		h.followers = append(h.followers, zinniatide.ControlVM{VM: id, PeerAddress: address})
	}
	return h.followers, nil
}

func (h *Host) startFollowers(leader zinniatide.ControlVM) error {
	if len(h.followerNodes) > 0 || len(h.followers) == 0 || leader.PeerAddress == "" {
		return errors.New("followers are already started, reserve was not called, or the leader address is missing")
	}
	h.controlVMs = append([]zinniatide.ControlVM{leader}, h.followers...)
	for _, vm := range h.followers {
		folder := filepath.Join(h.dataDir, string(vm.VM))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return zinniatide.WrapStep(err, "create folder", string(vm.VM))
		}
		v, err := NewControlNode(vm.VM, folder, h.controlVMs)
		if err != nil {
			return err
		}
		h.followerNodes = append(h.followerNodes, v)
	}
	return nil
}

func (h *Host) resize(n int) error {
	if len(h.followerNodes) == 0 || n < len(h.members) {
		return fmt.Errorf("cannot resize from %d to %d members with %d running followers", len(h.members), n, len(h.followerNodes))
	}
	for len(h.members) < n {
		m, err := newMember(len(h.members), h.controlVMs, h.registry)
		if err != nil {
			return err
		}
		h.members = append(h.members, m)
	}
	return nil
}

// runClaims runs the given number of concurrent claim workers, distributed over
// the members. Each worker sends one claim after the other.
func (h *Host) runClaims(workers int, run time.Duration) (*ClaimCounts, error) {
	if len(h.members) == 0 || workers <= 0 {
		return nil, fmt.Errorf("%d members cannot run %d claim workers", len(h.members), workers)
	}
	counts, end := &ClaimCounts{}, time.Now().Add(run)
	var running sync.WaitGroup
	for i := range workers {
		running.Add(1)
		go func() {
			defer running.Done()
			h.members[i%len(h.members)].claimUntil(end, counts)
		}()
	}
	running.Wait()
	return counts, nil
}

func (h *Host) usage(collect bool) (*Usage, error) {
	u := &Usage{Members: len(h.members)}
	var err error
	if u.CPU, err = CPUTime(); err != nil {
		return nil, err
	}
	for i, m := range h.members {
		if epoch := m.subscriber.Configuration().Epoch; i == 0 || epoch < u.Epoch {
			u.Epoch = epoch
		}
		if left := m.subscriber.LeaseUntil() - m.clock.Now(); i == 0 || left < u.LeaseLeft {
			u.LeaseLeft = left
		}
		if m.subscriber.LeaseUntil() > 0 {
			u.Leased++
		}
	}
	if collect {
		u.Heap = LiveMemory()
	}
	u.Counters, err = MetricSums(h.registry)
	return u, err
}

// LiveMemory returns the size of live heap objects and stacks in bytes.
func LiveMemory() uint64 {
	runtime.GC()
	runtime.GC() // the second cycle frees objects held by finalizers and pools
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// Call sends a request to the host at address and decodes its JSON response into
// out, unless out is nil.
func Call(address, path string, arguments url.Values, out any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path+"?"+arguments.Encode(), 40*time.Second)
	switch {
	case err != nil:
		return zinniatide.WrapStep(err, "call members host", address)
	case status != fasthttp.StatusOK:
		return zinniatide.WrapStep(errors.New(string(body)), "call members host", path)
	case out == nil:
		return nil
	}
	return zinniatide.WrapStep(json.Unmarshal(body, out), "decode response", path)
}
