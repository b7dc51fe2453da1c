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

// Host runs two followers of the control leader and a number of members. A
// scenario in another process steers it over HTTP, so that the processor time
// of the leader and of the others can be told apart.
type Host struct {
	folder    string
	registry  *prometheus.Registry
	mu        sync.Mutex
	followers []zinniatide.ControlVM
	control   []zinniatide.ControlVM
	voters    []*Control
	members   []*member
}

// Usage is the state of the process of a Host.
type Usage struct {
	Members int              `json:"members"`
	CPU     time.Duration    `json:"cpu"`
	Heap    uint64           `json:"heap"`  // live bytes, with stacks
	Epoch   zinniatide.Epoch `json:"epoch"` // the oldest installed one
	Leased  int              `json:"leased"`
	// LeaseLeft is the shortest time until the lease of a member ends.
	LeaseLeft zinniatide.Millis  `json:"lease-left-ms"`
	Counters  map[string]float64 `json:"counters"`
}

// NewHost returns a host without members.
func NewHost() (*Host, error) {
	folder, err := os.MkdirTemp("", "zinniabench-")
	if err != nil {
		return nil, zinniatide.WrapStep(err, "make folder", "members")
	}
	return &Host{folder: folder, registry: prometheus.NewRegistry()}, nil
}

// Serve answers the calls of a scenario until it fails.
func (h *Host) Serve(address string) error {
	return zinniatide.WrapStep(fasthttp.ListenAndServe(address, h.handle), "serve", address)
}

// Close ends all VMs.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.members {
		m.close()
	}
	for _, v := range h.voters {
		v.Close()
	}
	_ = os.RemoveAll(h.folder)
}

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
		err = h.start(zinniatide.ControlVM{VM: "c1", PeerAddress: string(ctx.QueryArgs().Peek("leader"))})
	case "/resize":
		if n := number("members"); err == nil {
			err = h.resize(n)
		}
	case "/claims":
		if workers, run := number("workers"), number("ms"); err == nil {
			value, err = h.claims(workers, time.Duration(run)*time.Millisecond)
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

// reserve chooses the addresses of the followers.
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

func (h *Host) start(leader zinniatide.ControlVM) error {
	if len(h.voters) > 0 || len(h.followers) == 0 || leader.PeerAddress == "" {
		return errors.New("started twice, before reserve, or without the address of a leader")
	}
	h.control = append([]zinniatide.ControlVM{leader}, h.followers...)
	for _, vm := range h.followers {
		folder := filepath.Join(h.folder, string(vm.VM))
		if err := os.Mkdir(folder, 0o700); err != nil {
			return zinniatide.WrapStep(err, "make folder", string(vm.VM))
		}
		v, err := NewControl(vm.VM, folder, h.control)
		if err != nil {
			return err
		}
		h.voters = append(h.voters, v)
	}
	return nil
}

func (h *Host) resize(n int) error {
	if len(h.voters) == 0 || n < len(h.members) {
		return fmt.Errorf("cannot go from %d to %d members with %d followers", len(h.members), n, len(h.voters))
	}
	for len(h.members) < n {
		m, err := newMember(len(h.members), h.control, h.registry)
		if err != nil {
			return err
		}
		h.members = append(h.members, m)
	}
	return nil
}

// claims runs chains of claims, spread over the members.
func (h *Host) claims(workers int, run time.Duration) (*ClaimCounts, error) {
	if len(h.members) == 0 || workers <= 0 {
		return nil, fmt.Errorf("%d members cannot run %d chains of claims", len(h.members), workers)
	}
	counts, end := &ClaimCounts{}, time.Now().Add(run)
	var running sync.WaitGroup
	for i := range workers {
		running.Add(1)
		go func() {
			defer running.Done()
			h.members[i%len(h.members)].claim(end, counts)
		}()
	}
	running.Wait()
	return counts, nil
}

func (h *Host) usage(collect bool) (*Usage, error) {
	u := &Usage{Members: len(h.members)}
	var err error
	if u.CPU, err = ProcessorTime(); err != nil {
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
	u.Counters, err = Counters(h.registry)
	return u, err
}

// LiveMemory returns the bytes of live objects and stacks of this process.
func LiveMemory() uint64 {
	runtime.GC()
	runtime.GC() // a second run frees what finalizers and pools held
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// Get calls a host and decodes its answer.
func Get(address, path string, arguments url.Values, out any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path+"?"+arguments.Encode(), 40*time.Second)
	switch {
	case err != nil:
		return zinniatide.WrapStep(err, "call the host of the members", address)
	case status != fasthttp.StatusOK:
		return zinniatide.WrapStep(errors.New(string(body)), "call the host of the members", path)
	case out == nil:
		return nil
	}
	return zinniatide.WrapStep(json.Unmarshal(body, out), "decode answer", path)
}
