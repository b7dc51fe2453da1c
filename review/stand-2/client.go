//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id      string
	sent    time.Time
	took    time.Duration
	status  int // 0 without a complete answer
	stamps  []string
	missing int
	body    []byte
	err     error
}

// get sends a request on a new connection. The client closes it when ctx ends.
func (c *cluster) get(ctx context.Context, m *machine, path, id string, deadline time.Duration) answer {
	a := answer{id: id, sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", m.ip, portFront, path), nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "shop.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.rec.logf("%s is sent to %s", id, m.name)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.took = time.Since(a.sent)
	if err != nil {
		a.err = err
		c.rec.logf("%s got no answer after %d ms: %v", id, a.took.Milliseconds(), err)
		return a
	}
	a.status = resp.StatusCode
	for _, value := range resp.Header.Values("X-Part-Stamps") {
		for stamp := range strings.SplitSeq(value, ",") {
			if stamp = strings.TrimSpace(stamp); stamp != "" {
				a.stamps = append(a.stamps, stamp)
			}
		}
	}
	a.missing, _ = strconv.Atoi(resp.Header.Get("X-Missing-Parts"))
	c.rec.logf("%s got %d after %d ms, parts %v, missing %d", id, a.status, a.took.Milliseconds(), a.stamps, a.missing)
	return a
}

// checkGathered returns what is wrong with a success to a gathered request, or "".
func (a *answer) checkGathered(shards []string, topK int) string {
	if a.status != 200 {
		return ""
	}
	seen := map[string]bool{}
	var records [][]byte
	for _, stamp := range a.stamps {
		searcher, id, _ := strings.Cut(stamp, ".")
		service := serviceOf(searcher)
		switch {
		case id != a.id:
			return fmt.Sprintf("part %s was signed for request %s", stamp, id)
		case !slices.Contains(shards, service):
			return fmt.Sprintf("part %s is of no shard of the route", stamp)
		case seen[service]:
			return fmt.Sprintf("service %s is there twice", service)
		}
		seen[service] = true
		records = append(records, recordsOf(a.id, service, partRecords)...)
	}
	if len(a.stamps)+a.missing != len(shards) {
		return fmt.Sprintf("%d parts and %d missing are not %d shards", len(a.stamps), a.missing, len(shards))
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	want := bytes.Join(records[:min(topK, len(records))], nil)
	if !bytes.Equal(a.body, want) {
		return "the body is not the greatest records of the parts named"
	}
	return ""
}

// resolve asks a directory for the addresses for callers of a zone.
func (c *cluster) resolve(m *machine, zone string) []string {
	status, raw := call("GET", fmt.Sprintf("%s:%d", m.ip, portDirectory), "/v1/resolve?name=shop.example&region=nairobi&zone="+zone, nil, time.Second)
	var reply struct {
		Addrs []string `json:"addrs"`
	}
	if status != 200 || json.Unmarshal(raw, &reply) != nil {
		return nil
	}
	return reply.Addrs
}
