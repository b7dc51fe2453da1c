// Package loader implements a load-generating caller of the query tier for the
// demo and the benchmarks. It fetches the addresses of the entry VMs, caches them
// for their lifetime, and verifies every answer against what the emulated backend
// servers return.
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

// Config configures a caller.
type Config struct {
	// Seeds are the configured addresses of entry VMs, from which the caller
	// fetches the address list.
	Seeds      []string
	Zone       zinniatide.ZoneID
	Service    zinniatide.ServiceID
	Workspace  zinniatide.WorkspaceID
	Class      zinniatide.ClassID
	Timeout    time.Duration
	RandomSeed uint64 // seed of the random choice of addresses
}

// Loader is a caller. It is safe for concurrent use.
type Loader struct {
	cfg    Config
	client fasthttp.Client

	mu        sync.Mutex
	rng       *rand.Rand
	addresses []string
	expires   time.Time
}

// New returns a caller. It fetches addresses with its first request.
func New(cfg Config) *Loader {
	l := &Loader{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.RandomSeed, 2))}
	l.client.MaxConnsPerHost = 4096 // high, so that it does not limit the benchmarks
	l.client.MaxIdleConnDuration = 2 * time.Second
	// A retry by the HTTP client could run a request twice.
	l.client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return l
}

// SearchAnswer is the response body of POST /v1/search.
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

// Refusal is an error response of the query tier.
type Refusal struct {
	Code    zinniatide.Code    `json:"code"`
	Outcome zinniatide.Outcome `json:"outcome"`
	Message string             `json:"message"`
}

func (r *Refusal) Error() string {
	return string(r.Code) + " (" + string(r.Outcome) + "): " + r.Message
}

// ErrMixedVersions is returned for an answer with hits of another index version
// than the one that it states.
var ErrMixedVersions = errors.New("answer mixes index versions")

// ErrWrongCoverage is returned for an answer whose stated coverage differs from
// the shards that answered.
var ErrWrongCoverage = errors.New("answer states a wrong coverage")

// ErrWrongRequest is returned for an answer that belongs to another request.
var ErrWrongRequest = errors.New("answer belongs to another request")

// pickAddress returns the address of a random entry VM. It fetches the address
// list first if the cached one has expired or is empty.
func (l *Loader) pickAddress() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.addresses) == 0 || time.Now().After(l.expires) {
		if err := l.refreshAddresses(); err != nil {
			return "", err
		}
	}
	return l.addresses[l.rng.IntN(len(l.addresses))], nil
}

// removeAddress removes an address that failed from the cached list.
func (l *Loader) removeAddress(address string) {
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

// refreshAddresses fetches the address list from the first seed that returns
// one. It keeps only the addresses in the zone of the first one, unless the
// caller has no zone.
func (l *Loader) refreshAddresses() error {
	var response struct {
		Addresses []struct {
			Zone    zinniatide.ZoneID `json:"zone"`
			Address string            `json:"address"`
		} `json:"addresses"`
		Lifetime zinniatide.Millis `json:"lifetime-ms"`
	}
	var lastErr error
	for _, i := range l.rng.Perm(len(l.cfg.Seeds)) {
		lastErr = l.send("GET", l.cfg.Seeds[i], "/v1/addresses?zone="+string(l.cfg.Zone), nil, time.Second, &response)
		if lastErr == nil && len(response.Addresses) > 0 {
			break
		}
	}
	if len(response.Addresses) == 0 {
		if lastErr == nil {
			lastErr = errors.New("no entry VM is serving")
		}
		return zinniatide.WrapStep(lastErr, "fetch addresses", fmt.Sprint(l.cfg.Seeds))
	}
	l.addresses = l.addresses[:0]
	for _, a := range response.Addresses {
		if a.Zone == response.Addresses[0].Zone || l.cfg.Zone == "" {
			l.addresses = append(l.addresses, a.Address)
		}
	}
	l.expires = time.Now().Add(response.Lifetime.Duration())
	return nil
}

// Search sends a search and verifies its answer. It tries another address when
// the connection is refused.
func (l *Loader) Search(id zinniatide.RequestID, query string) (*SearchAnswer, error) {
	address, err := l.pickAddress()
	if err != nil {
		return nil, err
	}
	answer, err := l.SearchAt(address, id, query)
	for tries := 0; IsConnectionRefused(err) && tries < maxConnectRetries; tries++ {
		if address, err = l.pickAddress(); err == nil {
			answer, err = l.SearchAt(address, id, query)
		}
	}
	return answer, err
}

// SearchAt is like Search, but sends the request to the given address only.
func (l *Loader) SearchAt(address string, id zinniatide.RequestID, query string) (*SearchAnswer, error) {
	body, err := json.Marshal(map[string]any{
		"request-id": id, "service": l.cfg.Service, "tenant": l.cfg.Workspace, "class": l.cfg.Class,
		"deadline-ms": l.cfg.Timeout.Milliseconds(), "limit": 10, "query": map[string]string{"text": query},
	})
	if err != nil {
		return nil, zinniatide.WrapStep(err, "encode search", address)
	}
	answer := new(SearchAnswer)
	if err := l.send("POST", address, "/v1/search", body, l.cfg.Timeout+responseGrace, answer); err != nil {
		l.removeAddress(address)
		return nil, err
	}
	return answer, checkAnswer(id, answer)
}

// responseGrace is the time beyond the deadline to receive the query tier's own
// error.
const responseGrace = time.Second

// maxConnectRetries is the number of further addresses that a search tries when
// the connection is refused.
const maxConnectRetries = 4

// IsConnectionRefused reports whether the connection was refused, in which case
// nothing of the request was sent.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// checkAnswer verifies the answer against the results of emulated backend
// servers, which report n matches for a shard of n keys.
func checkAnswer(id zinniatide.RequestID, a *SearchAnswer) error {
	if a.RequestID != id {
		return fmt.Errorf("%w: got %s, want %s", ErrWrongRequest, a.RequestID, id)
	}
	for _, hit := range a.Hits {
		if hit.Document.Version != a.Version {
			return fmt.Errorf("%w: hit of version %d in an answer of version %d", ErrMixedVersions, hit.Document.Version, a.Version)
		}
	}
	if stated := a.Coverage.Ratio * zinniatide.KeySpace; stated-float64(a.Total) > 0.5 || float64(a.Total)-stated > 0.5 {
		return fmt.Errorf("%w: stated ratio %.6f, but %d of %d keys answered", ErrWrongCoverage, a.Coverage.Ratio, a.Total, zinniatide.KeySpace)
	}
	return nil
}

// NewExpiringRequestID returns a request ID for a non-idempotent request. It
// starts with the time at which the ID expires.
func NewExpiringRequestID(lifetime time.Duration, unique string) zinniatide.RequestID {
	return zinniatide.RequestID(fmt.Sprintf("%d-%s", time.Now().Add(lifetime).UnixMilli(), unique))
}

// Execute sends a non-idempotent request to one address, without retries.
func (l *Loader) Execute(id zinniatide.RequestID, key uint32, note string) error {
	address, err := l.pickAddress()
	if err != nil {
		return err
	}
	return l.ExecuteAt(address, id, key, note)
}

// ExecuteAt is like Execute, but sends the request to the given address.
func (l *Loader) ExecuteAt(address string, id zinniatide.RequestID, key uint32, note string) error {
	body, err := json.Marshal(map[string]any{
		"request-id": id, "service": l.cfg.Service, "tenant": l.cfg.Workspace, "class": l.cfg.Class,
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
	if err := l.send("POST", address, "/v1/execute", body, l.cfg.Timeout+responseGrace, &answer); err != nil {
		l.removeAddress(address)
		return err
	}
	if answer.RequestID != id || answer.Body.Executed != id {
		return fmt.Errorf("%w: got %s with result of %s, want %s", ErrWrongRequest, answer.RequestID, answer.Body.Executed, id)
	}
	return nil
}

// send sends a request and decodes the response into reply. It returns a
// *Refusal if the status is not 200 and the body describes an error.
func (l *Loader) send(method, address, path string, body []byte, timeout time.Duration, reply any) error {
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
