package gateway_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"go.yaml.in/yaml/v3"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/gateway"
)

// page is docs/openapi.yaml.
type page struct {
	document map[string]any
	compiler *jsonschema.Compiler
}

func loadPage(t testing.TB) *page {
	t.Helper()
	raw, err := os.ReadFile("../docs/openapi.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var tree any
	if err := yaml.Unmarshal(raw, &tree); err != nil {
		t.Fatal(err)
	}
	asJSON, err := json.Marshal(tree)
	if err != nil {
		t.Fatal(err)
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(asJSON))
	if err != nil {
		t.Fatal(err)
	}
	p := &page{document: document.(map[string]any), compiler: jsonschema.NewCompiler()}
	if err := p.compiler.AddResource("page.json", document); err != nil {
		t.Fatal(err)
	}
	return p
}

// at returns the node at a path of keys, nil if there is none.
func (p *page) at(keys ...string) any {
	var node any = p.document
	for _, key := range keys {
		object, _ := node.(map[string]any)
		node = object[key]
	}
	return node
}

func (p *page) validate(t testing.TB, what string, data []byte, keys ...string) {
	t.Helper()
	if p.at(keys...) == nil {
		t.Errorf("%s: the page has no %v", what, keys)
		return
	}
	escape := strings.NewReplacer("~", "~0", "/", "~1", "{", "%7B", "}", "%7D")
	pointer := ""
	for _, key := range keys {
		pointer += "/" + escape.Replace(key)
	}
	schema, err := p.compiler.Compile("page.json#" + pointer)
	if err != nil {
		t.Fatal(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err == nil {
		err = schema.Validate(value)
	}
	if err != nil {
		t.Errorf("%s: %s does not follow the page: %v", what, data, err)
	}
}

const (
	executeBody  = `{"request-id":"1700000060000-abcdefgh","service":"portal","tenant":"t1","class":"interactive","deadline-ms":2000,"key":65535,"body":{"amount":3}}`
	announceBody = `{"server":"b1","incarnation":4,"zone":"z1","address":"10.0.0.9:80","slots":2,"connections":25,"draining":true,` +
		`"offers":[{"service":"portal","searchers":[{"version":7,"first":0,"last":16384},{"version":7,"first":16384,"last":65536}]}],"load":{"busy":1,"queue":2,"warm":true}}`
	ticketBody = `{"ticket":5,"vms":{"e1":{"state":"leaving"},"e2":null}}`
)

// bodies are the valid bodies of the operations that have one.
var bodies = map[string]string{"POST /v1/search": searchBody, "POST /v1/execute": executeBody, "POST /v1/announce": announceBody, "POST /v1/tickets": ticketBody}

// contractCase changes the valid body of an operation by replacing old by new.
type contractCase struct {
	operation string // method and path of the page
	query     string
	old, new  string
	status    int
	code      zinniatide.Code
	message   string
}

const bad = zinniatide.CodeBadRequest

var contract = []contractCase{
	{"GET /v1/addresses", "", "", "", 200, "", ""},
	{"GET /v1/addresses", "?zone=z1", "", "", 200, "", ""},
	{"GET /v1/addresses", "?zone=a%20b", "", "", 400, bad, "zone"},
	{"GET /v1/addresses", "?zone=z1&zone=z2", "", "", 400, bad, "twice"},
	{"GET /v1/health", "", "", "", 200, "", ""},
	{"GET /v1/health", "?x=1", "", "", 400, bad, "unknown"},
	{"GET /v1/state", "", "", "", 200, "", ""},
	{"GET /v1/tickets", "", "", "", 200, "", ""},
	{"GET /v1/tickets", "?limit=1", "", "", 200, "", ""},
	{"GET /v1/tickets", "?limit=0", "", "", 400, bad, "limit"},
	{"GET /v1/tickets", "?limit=1001", "", "", 400, bad, "limit"},
	{"GET /v1/tickets/{number}", "", "", "", 200, "", ""},
	{"POST /v1/tickets", "", "", "", 200, "", ""},
	{"POST /v1/tickets", "?dry-run=true", "", "", 200, "", ""},
	{"POST /v1/tickets", "?dry-run=1", "", "", 400, bad, "dry-run"},
	{"POST /v1/tickets", "?dryrun=true", "", "", 400, bad, "dryrun"},

	{"POST /v1/search", "", "", "", 200, "", ""},
	{"POST /v1/search", "", `"limit":3,`, "", 200, "", ""},
	{"POST /v1/search", "", searchBody, "", 400, bad, "malformed"},
	{"POST /v1/search", "", searchBody, "[]", 400, bad, "JSON object"},
	{"POST /v1/search", "", "}}", "}", 400, bad, "malformed"},
	{"POST /v1/search", "", "[1, 2]", "[1, 2", 400, bad, "query"},
	{"POST /v1/search", "", "}}", "}}{}", 400, bad, "followed by"},
	{"POST /v1/search", "", `"query"`, `"quarry"`, 400, bad, `"quarry" is unknown`},
	{"POST /v1/search", "", `"query"`, `"Query"`, 400, bad, `"Query" is unknown`},
	{"POST /v1/search", "", `"limit":3`, `"tenant":"t2"`, 400, bad, `"tenant" is given twice`},
	{"POST /v1/search", "", `"tenant":"t1",`, ``, 400, bad, `"tenant" is missing`},
	{"POST /v1/search", "", `"t1"`, `null`, 400, bad, `"tenant" is null`},
	{"POST /v1/search", "", `"t1"`, `7`, 400, bad, `"tenant"`},
	{"POST /v1/search", "", `"r1"`, `""`, 400, bad, "request-id"},
	{"POST /v1/search", "", `"r1"`, `"r 1"`, 400, bad, "request-id"},
	{"POST /v1/search", "", `"r1"`, `"r\n1"`, 400, bad, "request-id"},
	{"POST /v1/search", "", `"r1"`, `"` + strings.Repeat("r", 129) + `"`, 400, bad, "request-id"},
	{"POST /v1/search", "", `500`, `0`, 400, bad, "deadline-ms"},
	{"POST /v1/search", "", `500`, `-1`, 400, bad, "deadline-ms"},
	{"POST /v1/search", "", `500`, `2001`, 400, bad, "deadline-ms"},
	{"POST /v1/search", "", `500`, `1.5`, 400, bad, "deadline-ms"},
	{"POST /v1/search", "", `500`, `1e99`, 400, bad, "deadline-ms"},
	{"POST /v1/search", "", `"interactive","deadline-ms":500`, `"batch","deadline-ms":3501`, 400, bad, "3500"},
	{"POST /v1/search", "", `"interactive","deadline-ms":500`, `"batch","deadline-ms":3500`, 200, "", ""},
	{"POST /v1/search", "", `"limit":3`, `"limit":0`, 400, bad, "limit"},
	{"POST /v1/search", "", `"limit":3`, `"limit":1001`, 400, bad, "limit"},
	{"POST /v1/search", "", `{"q": [1, 2]}`, `"q"`, 400, bad, "query"},
	{"POST /v1/search", "", `"portal"`, `"other"`, 404, zinniatide.CodeUnknownService, "other"},
	{"POST /v1/search", "", `"t1"`, `"other"`, 404, zinniatide.CodeUnknownTenant, "other"},
	{"POST /v1/search", "", `"interactive"`, `"other"`, 404, zinniatide.CodeUnknownClass, "other"},

	{"POST /v1/execute", "", "", "", 200, "", ""},
	{"POST /v1/execute", "", `"key":65535,`, ``, 400, bad, `"key" is missing`},
	{"POST /v1/execute", "", `65535`, `65536`, 400, bad, "key"},
	{"POST /v1/execute", "", `65535`, `-1`, 400, bad, "key"},
	{"POST /v1/execute", "", `{"amount":3}`, `[]`, 400, bad, "body"},
	{"POST /v1/execute", "", `1700000060000-`, ``, 400, bad, "form"},
	{"POST /v1/execute", "", `1700000060000-`, `x-`, 400, bad, "expiry"},
	{"POST /v1/execute", "", `1700000060000-`, `01700000060000-`, 400, bad, "expiry"},
	{"POST /v1/execute", "", `1700000060000-`, `+1700000060000-`, 400, bad, "expiry"},
	{"POST /v1/execute", "", `1700000060000-`, `99999999999999999999-`, 400, bad, "expiry"},
	{"POST /v1/execute", "", `abcdefgh`, `abcdefg`, 400, bad, "8 or more"},
	{"POST /v1/execute", "", `1700000060000-`, `1700000900000-`, 200, "", ""},
	{"POST /v1/execute", "", `1700000060000-`, `1700000900001-`, 400, bad, "ahead"},
	{"POST /v1/execute", "", `1700000060000-`, `1600000000000-`, 200, "", ""},

	{"POST /v1/announce", "", "", "", 200, "", ""},
	{"POST /v1/announce", "", `"draining":true,`, ``, 200, "", ""},
	{"POST /v1/announce", "", `[{"version":7,"first":0,"last":16384},{"version":7,"first":16384,"last":65536}]`, `null`, 200, "", ""},
	{"POST /v1/announce", "", `"address":"10.0.0.9:80"`, `"address":"host:80"`, 400, bad, "address"},
	{"POST /v1/announce", "", `"incarnation":4`, `"incarnation":0`, 400, bad, "incarnation"},
	{"POST /v1/announce", "", `"slots":2`, `"slots":0`, 400, bad, "slots"},
	{"POST /v1/announce", "", `"slots":2`, `"slots":65536`, 400, bad, "slots"},
	{"POST /v1/announce", "", `"last":16384`, `"last":0`, 400, bad, `offers[0].searchers[0].first`},
	{"POST /v1/announce", "", `65536`, `65537`, 400, bad, `offers[0].searchers[1].last`},
	{"POST /v1/announce", "", `"first":16384`, `"First":16384`, 400, bad, `"offers[0].searchers[1].First" is unknown`},
	{"POST /v1/announce", "", `"warm":true`, `"warm":true,"warm":false`, 400, bad, `"load.warm" is given twice`},
	{"POST /v1/announce", "", `"warm":true`, `"warm":1`, 400, bad, `"load.warm"`},
	{"POST /v1/announce", "", `[{"service"`, `[3,{"service"`, 400, bad, `offers[0]`},
}

// Guards against operations that answer otherwise than the page says.
func TestContract(t *testing.T) {
	p, s := loadPage(t), serve(t, nil)
	succeeded := map[string]bool{}
	for _, c := range contract {
		name := fmt.Sprintf("%s%s %.40s -> %.40s", c.operation, c.query, c.old, c.new)
		method, path, _ := strings.Cut(c.operation, " ")
		body := bodies[c.operation]
		if c.old != "" && !strings.Contains(body, c.old) {
			t.Errorf("%s: valid body has no %s", name, c.old)
		}
		body = strings.Replace(body, c.old, c.new, 1)
		got := s.do(t, method, strings.Replace(path, "{number}", "5", 1)+c.query, body)
		if got.status != c.status || got.Code != c.code || !strings.Contains(got.Text, c.message) {
			t.Errorf("%s: got %d %s, want %d %s with %q", name, got.status, got.body, c.status, c.code, c.message)
		}
		node := []string{"paths", path, strings.ToLower(method)}
		if c.status == 200 {
			succeeded[c.operation] = true
			p.validate(t, name, got.body, append(node, "responses", "200", "content", "application/json", "schema")...)
			if body != "" {
				p.validate(t, name+" request", []byte(body), append(node, "requestBody", "content", "application/json", "schema")...)
			}
			continue
		}
		if got.Result != zinniatide.OutcomeNotRun {
			t.Errorf("%s: outcome %s, want not-run", name, got.Result)
		}
		p.validate(t, name, got.body, "components", "schemas", "Refusal")
		s.refusesOtherMethods(t, path)
	}
	for path, methods := range p.document["paths"].(map[string]any) {
		for method, operation := range methods.(map[string]any) {
			offered := slices.Contains(operation.(map[string]any)["tags"].([]any), any("offered-by-backend-server"))
			if key := strings.ToUpper(method) + " " + path; succeeded[key] == offered {
				t.Errorf("%s: tested %v, offered by backend servers %v", key, succeeded[key], offered)
			}
		}
	}
}

func (s *server) refusesOtherMethods(t testing.TB, path string) {
	t.Helper()
	if got := s.do(t, "DELETE", strings.Replace(path, "{number}", "5", 1), ""); got.status != 405 || got.Code != zinniatide.CodeMethodNotSupported || got.header.Get("Allow") == "" {
		t.Errorf("DELETE %s: got %d %s", path, got.status, got.body)
	}
}

// Guards against a code without a place in docs/errors.md or the page, and a
// status or outcome other than the one written there, for every operation
// that can fail.
func TestEveryCodeIsDocumented(t *testing.T) {
	p, s := loadPage(t), serve(t, nil)
	raw, err := os.ReadFile("../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (\\d+) \\| ([^|]+) \\|").FindAllStringSubmatch(string(raw), -1) {
		documented[row[1]] = true
		status, _ := strconv.Atoi(row[2])
		for _, outcome := range strings.Split(row[3], " or ") {
			refusal := &zinniatide.Refusal{Code: zinniatide.Code(row[1]), Outcome: zinniatide.Outcome(strings.Trim(outcome, "`")), Message: "m"}
			for _, o := range []string{"POST /v1/search", "POST /v1/execute", "POST /v1/announce", "POST /v1/tickets", "GET /v1/tickets", "GET /v1/tickets/5", "GET /v1/state"} {
				s.err = zinniatide.WrapStep(refusal, "test", "e2")
				method, path, _ := strings.Cut(o, " ")
				got := s.do(t, method, path, bodies[o])
				if got.status != status || got.Code != refusal.Code || got.Result != refusal.Outcome || got.Text != "m" {
					t.Errorf("%s: got %d %s, want %d %+v", o, got.status, got.body, status, refusal)
				}
				p.validate(t, o, got.body, "components", "schemas", "Refusal")
			}
		}
	}
	inPage := map[string]bool{}
	for _, code := range p.at("components", "schemas", "Code", "enum").([]any) {
		inPage[code.(string)] = true
	}
	inSource := sourceCodes(t)
	if !maps.Equal(documented, inSource) || !maps.Equal(inPage, inSource) {
		t.Errorf("codes differ:\nerrors.go    %v\nerrors.md    %v\nopenapi.yaml %v", inSource, documented, inPage)
	}
	s.err = errors.New("secret detail")
	if got := s.do(t, "POST", "/v1/execute", executeBody); got.status != 500 || got.Code != zinniatide.CodeInternal || got.Result != zinniatide.OutcomeUnknown || strings.Contains(got.Text, "secret") || got.ID != "1700000060000-abcdefgh" {
		t.Errorf("unexpected error got %d %s", got.status, got.body)
	}
}

// sourceCodes returns the codes declared in the root package.
func sourceCodes(t testing.TB) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../errors.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	codes := map[string]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && strings.HasPrefix(spec.Names[0].Name, "Code") {
			code, _ := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			codes[code] = true
		}
		return true
	})
	return codes
}

// Guards against work that a VM takes without a lease, and against control
// operations on VMs without the control role.
func TestRoles(t *testing.T) {
	s := serve(t, func(_ *gateway.Config, d *gateway.Dependencies) { d.Operator = nil })
	for _, o := range []string{"POST /v1/tickets", "GET /v1/tickets", "GET /v1/tickets/5", "GET /v1/state", "GET /v1/none", "GET /v1/tickets/5/6"} {
		method, path, _ := strings.Cut(o, " ")
		if got := s.do(t, method, path, bodies[o]); got.status != 404 || got.Code != zinniatide.CodeNotFound {
			t.Errorf("%s: got %d %s", o, got.status, got.body)
		}
	}
	s.clock.Advance(4000) // to the end of the lease
	for _, o := range []string{"POST /v1/search", "POST /v1/execute"} {
		method, path, _ := strings.Cut(o, " ")
		if got := s.do(t, method, path, bodies[o]); got.status != 503 || got.Code != zinniatide.CodeNotServing || got.Result != zinniatide.OutcomeNotRun || got.ID == "" {
			t.Errorf("%s without a lease: got %d %s", o, got.status, got.body)
		}
	}
	if got := s.do(t, "GET", "/v1/health", ""); !bytes.Contains(got.body, []byte(`"serving":false`)) || !bytes.Contains(got.body, []byte(`"lease-ms":0`)) {
		t.Errorf("health without a lease: %s", got.body)
	}
	if s.searched.RequestID != "" || s.executed.RequestID != "" {
		t.Error("work was passed on without a lease")
	}
}

// Guards against examples of the backend servers' operations that do not
// follow their own schemas.
func TestExamplesFollowThePage(t *testing.T) {
	p := loadPage(t)
	for _, path := range []string{"/v1/sub-query", "/v1/sub-execute"} {
		for _, node := range [][]string{{"requestBody"}, {"responses", "200"}} {
			keys := append(append([]string{"paths", path, "post"}, node...), "content", "application/json")
			example, err := json.Marshal(p.at(append(keys, "example")...))
			if err != nil {
				t.Fatal(err)
			}
			p.validate(t, path, example, append(keys, "schema")...)
		}
	}
}
