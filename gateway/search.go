package gateway

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"zinniatide.example/zinniatide"
)

const (
	defaultSearchLimit = 10
	maxSearchLimit     = 1000
)

// commonFields holds the fields that search and execute requests share.
type commonFields struct {
	id        zinniatide.RequestID
	service   zinniatide.ServiceID
	workspace zinniatide.WorkspaceID
	class     zinniatide.ClassID
	deadline  zinniatide.Millis // relative to the arrival of the request
}

func (c *commonFields) fields(more ...field) []field {
	return append([]field{
		{name: "request-id", target: identifier(&c.id)},
		{name: "service", target: identifier(&c.service)},
		{name: "tenant", target: identifier(&c.workspace)},
		{name: "class", target: identifier(&c.class)},
		{name: "deadline-ms", target: &c.deadline},
	}, more...)
}

func decodeSearch(body []byte) (c commonFields, limit int, query []byte, err error) {
	limit = defaultSearchLimit
	err = decodeObject(body, "", c.fields(
		field{name: "limit", target: &limit, optional: true},
		field{name: "query", target: rawObject(&query)}))
	if err == nil && (limit < 1 || limit > maxSearchLimit) {
		err = zinniatide.Refuse(zinniatide.CodeBadRequest, "field \"limit\" must be 1 to %d", maxSearchLimit)
	}
	return c, limit, query, err
}

func (g *Gateway) search(r *request) {
	now := g.deps.Clock.Now()
	c, limit, query, err := decodeSearch(r.PostBody())
	r.id = c.id
	if err != nil {
		r.refuse(badRequest(err))
		return
	}
	if err := g.validate(r, &c, now); err != nil {
		r.refuse(err)
		return
	}
	answer, err := g.deps.Querier.Search(zinniatide.SearchRequest{
		RequestID: c.id, Service: c.service, Workspace: c.workspace, Class: c.class,
		Deadline: now + c.deadline, Limit: limit, Query: query,
	})
	if err != nil {
		r.refuse(err)
		return
	}
	r.writeBody(fasthttp.StatusOK, appendSearchResponse(nil, c.id, &answer))
}

// badRequest converts a decoding error to a refusal.
func badRequest(err error) error {
	if refusal, ok := err.(*zinniatide.Refusal); ok { //nolint:errorlint // decoders return it unwrapped
		return refusal
	}
	return zinniatide.Refuse(zinniatide.CodeBadRequest, "%s", err.Error())
}

// validate checks the lease of this VM, and a request against the configuration.
// It sets the metric labels of r to the names found in the configuration.
func (g *Gateway) validate(r *request, c *commonFields, now zinniatide.Millis) error {
	if g.deps.Configuration.LeaseUntil() <= now {
		return zinniatide.Refuse(zinniatide.CodeNotServing, "this VM has no lease; use another address")
	}
	service, ok := g.deps.Configuration.Configuration().Services[c.service]
	if !ok {
		return zinniatide.Refuse(zinniatide.CodeUnknownService, "service %q is not configured", c.service)
	}
	if _, ok := service.Workspaces[c.workspace]; !ok {
		return zinniatide.Refuse(zinniatide.CodeUnknownWorkspace, "service %q has no tenant %q", c.service, c.workspace)
	}
	r.workspace = string(c.workspace)
	class, ok := service.Classes[c.class]
	if !ok {
		return zinniatide.Refuse(zinniatide.CodeUnknownClass, "service %q has no class %q", c.service, c.class)
	}
	r.class = string(c.class)
	maxDeadline := min(class.MaxDeadline, zinniatide.MaxRequestTime)
	if c.deadline < 1 || c.deadline > maxDeadline {
		return zinniatide.Refuse(zinniatide.CodeBadRequest, "field \"deadline-ms\" must be 1 to %d for class %q", maxDeadline, c.class)
	}
	return nil
}

// appendSearchResponse encodes the response without encoding/json, which would
// reformat the documents. They must reach the caller unchanged.
func appendSearchResponse(dst []byte, id zinniatide.RequestID, a *zinniatide.SearchAnswer) []byte {
	size := 256
	for i := range a.Hits {
		size += len(a.Hits[i].ID) + len(a.Hits[i].Document) + 64
	}
	dst = append(make([]byte, 0, size), dst...)
	dst = append(dst, `{"request-id":`...)
	dst = appendJSONString(dst, string(id))
	dst = append(dst, `,"outcome":"done","version":`...)
	dst = strconv.AppendUint(dst, uint64(a.Version), 10)
	dst = append(dst, `,"coverage":{"shards-answered":`...)
	dst = strconv.AppendInt(dst, int64(a.Coverage.ShardsAnswered), 10)
	dst = append(dst, `,"shards-total":`...)
	dst = strconv.AppendInt(dst, int64(a.Coverage.ShardsTotal), 10)
	dst = append(dst, `,"ratio":`...)
	dst = strconv.AppendFloat(dst, a.Coverage.Ratio, 'g', -1, 64)
	dst = append(dst, `},"total":`...)
	dst = strconv.AppendUint(dst, a.Total, 10)
	dst = append(dst, `,"hits":[`...)
	for i := range a.Hits {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = appendHit(dst, &a.Hits[i])
	}
	return append(dst, "]}"...)
}

func appendHit(dst []byte, h *zinniatide.Hit) []byte {
	dst = append(dst, `{"id":`...)
	dst = appendJSONString(dst, h.ID)
	dst = append(dst, `,"score":`...)
	dst = strconv.AppendFloat(dst, h.Score, 'g', -1, 64)
	if len(h.Document) > 0 {
		dst = append(dst, `,"document":`...)
		dst = append(dst, h.Document...)
	}
	return append(dst, '}')
}

// appendJSONString appends s as a JSON string.
func appendJSONString(dst []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			quoted, _ := json.Marshal(s) // encoding a string cannot fail
			return append(dst, quoted...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}
