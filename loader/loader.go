// Package loader implements a caller of the query tier for the demo and the
// measurements. It asks for addresses, keeps the answer for its lifetime, and
// checks every answer against what the stand-in backend servers must return.
package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

// Config describes one caller.
type Config struct {
	// Seeds are entry addresses known from the settings.
	Seeds   []string
	Zone    zinniatide.ZoneID
	Service zinniatide.ServiceID
	Tenant  zinniatide.TenantID
	Class   zinniatide.ClassID
	Timeout time.Duration
	Seed    uint64
}

// Loader is one caller. It is safe for concurrent use.
type Loader struct {
	cfg    Config
	client fasthttp.Client

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
	expires   time.Time
}

// New returns a caller that has not asked for addresses yet.
func New(cfg Config) *Loader {
	l := &Loader{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2))}
	l.client.MaxConnsPerHost = 4096
	l.client.MaxIdleConnDuration = 2 * time.Second
	l.client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return l
}

// SearchAnswer is the answer of POST /v1/search.
type SearchAnswer struct {
	RequestID zinniatide.RequestID    `json:"request-id"`
	Outcome   zinniatide.Outcome      `json:"outcome"`
	Version   zinniatide.IndexVersion `json:"version"`
	Coverage  zinniatide.Coverage     `json:"coverage"`
	Total     uint64                  `json:"total"`
	Hits      []struct {
		ID       string `json:"id"`
		Document struct {
			Version zinniatide.IndexVersion `json:"version"`
			First   uint32                  `json:"first"`
		} `json:"document"`
	} `json:"hits"`
}

// Refusal is an error answer of the query tier.
type Refusal struct {
	Code    zinniatide.Code    `json:"code"`
	Outcome zinniatide.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Outcome) + "): " + r.Message
}

// ErrMixed means that an answer holds hits of more than one index version.
var ErrMixed = errors.New("answer mixes index versions")

// ErrCoverage means that the stated coverage differs from what answered.
var ErrCoverage = errors.New("answer states a false coverage")

// ErrCrossed means that an answer belongs to another request.
var ErrCrossed = errors.New("answer belongs to another request")

// Address returns an entry address, asking for new ones when the last answer
// has expired.
func (l *Loader) Address() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.addresses) == 0 || time.Now().After(l.expires) {
		if err := l.refresh(); err != nil {
			return "", err
		}
	}
	return l.addresses[l.rng.IntN(len(l.addresses))], nil
}

// Forget drops an address that gave no service.
func (l *Loader) Forget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.addresses[:0]
	for _, a := range l.addresses {
		if a != address {
			kept = append(kept, a)
		}
	}
	l.addresses = kept
}

func (l *Loader) refresh() error {
	var answer struct {
		Addresses []struct {
			Zone    zinniatide.ZoneID `json:"zone"`
			Address string            `json:"address"`
		} `json:"addresses"`
		Lifetime zinniatide.Millis `json:"lifetime-ms"`
	}
	var failure error
	for _, i := range l.rng.Perm(len(l.cfg.Seeds)) {
		failure = l.call("GET", l.cfg.Seeds[i], "/v1/addresses?zone="+string(l.cfg.Zone), nil, time.Second, &answer)
		if failure == nil && len(answer.Addresses) > 0 {
			break
		}
	}
	if len(answer.Addresses) == 0 {
		if failure == nil {
			failure = errors.New("no entry VM is serving")
		}
		return zinniatide.WrapStep(failure, "ask for addresses", fmt.Sprint(l.cfg.Seeds))
	}
	l.addresses = l.addresses[:0]
	for _, a := range answer.Addresses {
		if a.Zone == answer.Addresses[0].Zone || l.cfg.Zone == "" {
			l.addresses = append(l.addresses, a.Address)
		}
	}
	l.expires = time.Now().Add(answer.Lifetime.Duration())
	return nil
}

// Search runs one search and checks its answer.
func (l *Loader) Search(id zinniatide.RequestID, query string) (*SearchAnswer, error) {
	address, err := l.Address()
	if err != nil {
		return nil, err
	}
	answer, err := l.SearchAt(address, id, query)
	for tries := 0; Refused(err) && tries < maxConnects; tries++ {
		if address, err = l.Address(); err == nil {
			answer, err = l.SearchAt(address, id, query)
		}
	}
	return answer, err
}

// SearchAt is Search on a chosen address.
func (l *Loader) SearchAt(address string, id zinniatide.RequestID, query string) (*SearchAnswer, error) {
	body, err := json.Marshal(map[string]any{
		"request-id": id, "service": l.cfg.Service, "tenant": l.cfg.Tenant, "class": l.cfg.Class,
		"deadline-ms": l.cfg.Timeout.Milliseconds(), "limit": 10, "query": map[string]string{"text": query},
	})
	if err != nil {
		return nil, zinniatide.WrapStep(err, "encode search", address)
	}
	answer := new(SearchAnswer)
	if err := l.call("POST", address, "/v1/search", body, l.cfg.Timeout+time.Second, answer); err != nil {
		l.Forget(address)
		return nil, err
	}
	return answer, check(id, answer)
}

// maxConnects is how many further addresses a caller tries.
const maxConnects = 4

// Refused reports whether the connection was refused, so that no byte of the
// request was sent.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// check compares the answer with the documents that the stand-ins return: a
// shard of n keys reports n matches.
func check(id zinniatide.RequestID, a *SearchAnswer) error {
	if a.RequestID != id {
		return fmt.Errorf("%w: got %s, want %s", ErrCrossed, a.RequestID, id)
	}
	for _, hit := range a.Hits {
		if hit.Document.Version != a.Version {
			return fmt.Errorf("%w: hit of version %d in an answer of version %d", ErrMixed, hit.Document.Version, a.Version)
		}
	}
	if stated := a.Coverage.Ratio * zinniatide.KeySpace; stated-float64(a.Total) > 0.5 || float64(a.Total)-stated > 0.5 {
		return fmt.Errorf("%w: stated ratio %.6f, but %d of %d keys answered", ErrCoverage, a.Coverage.Ratio, a.Total, zinniatide.KeySpace)
	}
	return nil
}

// NewExecuteID returns a request id for a non-idempotent request.
func NewExecuteID(lifetime time.Duration, unique string) zinniatide.RequestID {
	return zinniatide.RequestID(fmt.Sprintf("%d-%s", time.Now().Add(lifetime).UnixMilli(), unique))
}

// Execute runs one non-idempotent request on one address.
func (l *Loader) Execute(id zinniatide.RequestID, key uint32, note string) error {
	address, err := l.Address()
	if err != nil {
		return err
	}
	return l.ExecuteAt(address, id, key, note)
}

// ExecuteAt is Execute on a chosen address.
func (l *Loader) ExecuteAt(address string, id zinniatide.RequestID, key uint32, note string) error {
	body, err := json.Marshal(map[string]any{
		"request-id": id, "service": l.cfg.Service, "tenant": l.cfg.Tenant, "class": l.cfg.Class,
		"deadline-ms": l.cfg.Timeout.Milliseconds(), "key": key, "body": map[string]string{"note": note},
	})
	if err != nil {
		return zinniatide.WrapStep(err, "encode execute", address)
	}
	var answer struct {
		RequestID zinniatide.RequestID `json:"request-id"`
		Body      struct {
			Executed zinniatide.RequestID `json:"executed"`
		} `json:"body"`
	}
	if err := l.call("POST", address, "/v1/execute", body, l.cfg.Timeout+time.Second, &answer); err != nil {
		l.Forget(address)
		return err
	}
	if answer.RequestID != id || answer.Body.Executed != id {
		return fmt.Errorf("%w: got %s with result of %s, want %s", ErrCrossed, answer.RequestID, answer.Body.Executed, id)
	}
	return nil
}

func (l *Loader) call(method, address, path string, body []byte, timeout time.Duration, reply any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := l.client.DoTimeout(req, resp, timeout); err != nil {
		return zinniatide.WrapStep(err, method+" "+path, address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		refusal := new(Refusal)
		if err := json.Unmarshal(resp.Body(), refusal); err != nil {
			return zinniatide.WrapStep(fmt.Errorf("status %d: %w", resp.StatusCode(), err), method+" "+path, address)
		}
		return refusal
	}
	return zinniatide.WrapStep(json.Unmarshal(resp.Body(), reply), "decode answer of "+path, address)
}
