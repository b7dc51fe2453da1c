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

// apiSpec is the content of docs/openapi.yaml.
type apiSpec struct {
	document map[string]any
	compiler *jsonschema.Compiler
}

func loadAPISpec(t testing.TB) *apiSpec {
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
	spec := &apiSpec{document: document.(map[string]any), compiler: jsonschema.NewCompiler()}
	if err := spec.compiler.AddResource("openapi.json", document); err != nil {
		t.Fatal(err)
	}
	return spec
}

// lookup returns the node at a path of keys, or nil if there is none.
func (spec *apiSpec) lookup(keys ...string) any {
	var node any = spec.document
	for _, key := range keys {
		object, _ := node.(map[string]any)
		node = object[key]
	}
	return node
}

// validate checks data against the schema at a path of keys.
func (spec *apiSpec) validate(t testing.TB, what string, data []byte, keys ...string) {
	t.Helper()
	if spec.lookup(keys...) == nil {
		t.Errorf("%s: openapi.yaml has no %v", what, keys)
		return
	}
	escape := strings.NewReplacer("~", "~0", "/", "~1", "{", "%7B", "}", "%7D")
	pointer := ""
	for _, key := range keys {
		pointer += "/" + escape.Replace(key)
	}
	schema, err := spec.compiler.Compile("openapi.json#" + pointer)
	if err != nil {
		t.Fatal(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err == nil {
		err = schema.Validate(value)
	}
	if err != nil {
		t.Errorf("%s: %s does not match its schema in openapi.yaml: %v", what, data, err)
	}
}

const (
	executeBody  = `{"request-id":"1700000060000-abcdefgh","service":"portal","tenant":"t1","class":"interactive","deadline-ms":2000,"key":65535,"body":{"amount":3}}`
	announceBody = `{"server":"b1","incarnation":4,"zone":"z1","address":"10.0.0.9:80","slots":2,"connections":25,"draining":true,` +
		`"offers":[{"service":"portal","searchers":[{"version":7,"first":0,"last":16384},{"version":7,"first":16384,"last":65536}]}],"load":{"busy":1,"queue":2,"warm":true}}`
	ticketBody = `{"ticket":5,"vms":{"e1":{"state":"leaving"},"e2":null}}`
)

// bodies holds a valid body of each operation that takes one.
var bodies = map[string]string{"POST /v1/search": searchBody, "POST /v1/execute": executeBody, "POST /v1/announce": announceBody, "POST /v1/tickets": ticketBody}

// contractCase replaces old with new in the valid body of an operation, and
// states the expected response.
type contractCase struct {
	operation string // method and path as in openapi.yaml
	query     string
	old, new  string
	status    int
	code      zinniatide.Code
	message   string
}

const badRequest = zinniatide.CodeBadRequest

var contractCases = []contractCase{
	{"GET /v1/addresses", "", "", "", 200, "", ""},
	{"GET /v1/addresses", "?zone=z1", "", "", 200, "", ""},
	{"GET /v1/addresses", "?zone=a%20b", "", "", 400, badRequest, "zone"},
	{"GET /v1/addresses", "?zone=z1&zone=z2", "", "", 400, badRequest, "twice"},
	{"GET /v1/health", "", "", "", 200, "", ""},
	{"GET /v1/health", "?x=1", "", "", 400, badRequest, "unknown"},
	{"GET /v1/state", "", "", "", 200, "", ""},
	{"GET /v1/tickets", "", "", "", 200, "", ""},
	{"GET /v1/tickets", "?limit=1", "", "", 200, "", ""},
	{"GET /v1/tickets", "?limit=0", "", "", 400, badRequest, "limit"},
	{"GET /v1/tickets", "?limit=1001", "", "", 400, badRequest, "limit"},
	{"GET /v1/tickets/{number}", "", "", "", 200, "", ""},
	{"POST /v1/tickets", "", "", "", 200, "", ""},
	{"POST /v1/tickets", "?dry-run=true", "", "", 200, "", ""},
	{"POST /v1/tickets", "?dry-run=1", "", "", 400, badRequest, "dry-run"},
	{"POST /v1/tickets", "?dryrun=true", "", "", 400, badRequest, "dryrun"},

	{"POST /v1/search", "", "", "", 200, "", ""},
	{"POST /v1/search", "", `"limit":3,`, "", 200, "", ""},
	{"POST /v1/search", "", searchBody, "", 400, badRequest, "malformed"},
	{"POST /v1/search", "", searchBody, "[]", 400, badRequest, "JSON object"},
	{"POST /v1/search", "", "}}", "}", 400, badRequest, "malformed"},
	{"POST /v1/search", "", "[1, 2]", "[1, 2", 400, badRequest, "query"},
	{"POST /v1/search", "", "}}", "}}{}", 400, badRequest, "followed by"},
	{"POST /v1/search", "", `"query"`, `"quarry"`, 400, badRequest, `"quarry" is unknown`},
	{"POST /v1/search", "", `"query"`, `"Query"`, 400, badRequest, `"Query" is unknown`},
	{"POST /v1/search", "", `"limit":3`, `"tenant":"t2"`, 400, badRequest, `"tenant" is given twice`},
	{"POST /v1/search", "", `"tenant":"t1",`, ``, 400, badRequest, `"tenant" is missing`},
	{"POST /v1/search", "", `"t1"`, `null`, 400, badRequest, `"tenant" is null`},
	{"POST /v1/search", "", `"t1"`, `7`, 400, badRequest, `"tenant"`},
	{"POST /v1/search", "", `"r1"`, `""`, 400, badRequest, "request-id"},
	{"POST /v1/search", "", `"r1"`, `"r 1"`, 400, badRequest, "request-id"},
	{"POST /v1/search", "", `"r1"`, `"r\n1"`, 400, badRequest, "request-id"},
	{"POST /v1/search", "", `"r1"`, `"` + strings.Repeat("r", 129) + `"`, 400, badRequest, "request-id"},
	{"POST /v1/search", "", `500`, `0`, 400, badRequest, "deadline-ms"},
	{"POST /v1/search", "", `500`, `-1`, 400, badRequest, "deadline-ms"},
	{"POST /v1/search", "", `500`, `2001`, 400, badRequest, "deadline-ms"},
	{"POST /v1/search", "", `500`, `1.5`, 400, badRequest, "deadline-ms"},
	{"POST /v1/search", "", `500`, `1e99`, 400, badRequest, "deadline-ms"},
	{"POST /v1/search", "", `"interactive","deadline-ms":500`, `"batch","deadline-ms":3501`, 400, badRequest, "3500"},
	{"POST /v1/search", "", `"interactive","deadline-ms":500`, `"batch","deadline-ms":3500`, 200, "", ""},
	{"POST /v1/search", "", `"limit":3`, `"limit":0`, 400, badRequest, "limit"},
	{"POST /v1/search", "", `"limit":3`, `"limit":1001`, 400, badRequest, "limit"},
	{"POST /v1/search", "", `{"q": [1, 2]}`, `"q"`, 400, badRequest, "query"},
	{"POST /v1/search", "", `"portal"`, `"other"`, 404, zinniatide.CodeUnknownService, "other"},
	{"POST /v1/search", "", `"t1"`, `"other"`, 404, zinniatide.CodeUnknownWorkspace, "other"},
	{"POST /v1/search", "", `"interactive"`, `"other"`, 404, zinniatide.CodeUnknownClass, "other"},

	{"POST /v1/execute", "", "", "", 200, "", ""},
	{"POST /v1/execute", "", `"key":65535,`, ``, 400, badRequest, `"key" is missing`},
	{"POST /v1/execute", "", `65535`, `65536`, 400, badRequest, "key"},
	{"POST /v1/execute", "", `65535`, `-1`, 400, badRequest, "key"},
	{"POST /v1/execute", "", `{"amount":3}`, `[]`, 400, badRequest, "body"},
	{"POST /v1/execute", "", `1700000060000-`, ``, 400, badRequest, "form"},
	{"POST /v1/execute", "", `1700000060000-`, `x-`, 400, badRequest, "expiry"},
	{"POST /v1/execute", "", `1700000060000-`, `01700000060000-`, 400, badRequest, "expiry"},
	{"POST /v1/execute", "", `1700000060000-`, `+1700000060000-`, 400, badRequest, "expiry"},
	{"POST /v1/execute", "", `1700000060000-`, `99999999999999999999-`, 400, badRequest, "expiry"},
	{"POST /v1/execute", "", `abcdefgh`, `abcdefg`, 400, badRequest, "8 or more"},
	{"POST /v1/execute", "", `1700000060000-`, `1700000900000-`, 200, "", ""},
	{"POST /v1/execute", "", `1700000060000-`, `1700000900001-`, 400, badRequest, "ahead"},
	{"POST /v1/execute", "", `1700000060000-`, `1600000000000-`, 200, "", ""},

	{"POST /v1/announce", "", "", "", 200, "", ""},
	{"POST /v1/announce", "", `"draining":true,`, ``, 200, "", ""},
	{"POST /v1/announce", "", `[{"version":7,"first":0,"last":16384},{"version":7,"first":16384,"last":65536}]`, `null`, 200, "", ""},
	{"POST /v1/announce", "", `"address":"10.0.0.9:80"`, `"address":"host:80"`, 400, badRequest, "address"},
	{"POST /v1/announce", "", `"incarnation":4`, `"incarnation":0`, 400, badRequest, "incarnation"},
	{"POST /v1/announce", "", `"slots":2`, `"slots":0`, 400, badRequest, "slots"},
	{"POST /v1/announce", "", `"slots":2`, `"slots":65536`, 400, badRequest, "slots"},
	{"POST /v1/announce", "", `"last":16384`, `"last":0`, 400, badRequest, `offers[0].searchers[0].first`},
	{"POST /v1/announce", "", `65536`, `65537`, 400, badRequest, `offers[0].searchers[1].last`},
	{"POST /v1/announce", "", `"first":16384`, `"First":16384`, 400, badRequest, `"offers[0].searchers[1].First" is unknown`},
	{"POST /v1/announce", "", `"warm":true`, `"warm":true,"warm":false`, 400, badRequest, `"load.warm" is given twice`},
	{"POST /v1/announce", "", `"warm":true`, `"warm":1`, 400, badRequest, `"load.warm"`},
	{"POST /v1/announce", "", `[{"service"`, `[3,{"service"`, 400, badRequest, `offers[0]`},
}

// Guards against operations whose responses differ from docs/openapi.yaml, and
// against operations listed there without a test.
func TestContract(t *testing.T) {
	spec, s := loadAPISpec(t), startServer(t, nil)
	succeeded := map[string]bool{}
	for _, c := range contractCases {
		name := fmt.Sprintf("%s%s %.40s -> %.40s", c.operation, c.query, c.old, c.new)
		method, path, _ := strings.Cut(c.operation, " ")
		body := bodies[c.operation]
		if c.old != "" && !strings.Contains(body, c.old) {
			t.Errorf("%s: valid body has no %s", name, c.old)
		}
		body = strings.Replace(body, c.old, c.new, 1)
		got := s.do(t, method, strings.Replace(path, "{number}", "5", 1)+c.query, body)
		if got.status != c.status || got.Code != c.code || !strings.Contains(got.Message, c.message) {
			t.Errorf("%s: got %d %s, want %d %s with %q", name, got.status, got.body, c.status, c.code, c.message)
		}
		node := []string{"paths", path, strings.ToLower(method)}
		if c.status == 200 {
			succeeded[c.operation] = true
			spec.validate(t, name, got.body, append(node, "responses", "200", "content", "application/json", "schema")...)
			if body != "" {
				spec.validate(t, name+" request", []byte(body), append(node, "requestBody", "content", "application/json", "schema")...)
			}
			continue
		}
		if got.Outcome != zinniatide.OutcomeNotRun {
			t.Errorf("%s: outcome %s, want not-run", name, got.Outcome)
		}
		spec.validate(t, name, got.body, "components", "schemas", "Refusal")
		s.checkDeleteRefused(t, path)
	}
	for path, methods := range spec.document["paths"].(map[string]any) {
		for method, operation := range methods.(map[string]any) {
			offered := slices.Contains(operation.(map[string]any)["tags"].([]any), any("offered-by-backend-server"))
			if key := strings.ToUpper(method) + " " + path; succeeded[key] == offered {
				t.Errorf("%s: tested %v, offered by backend servers %v", key, succeeded[key], offered)
			}
		}
	}
}

func (s *testServer) checkDeleteRefused(t testing.TB, path string) {
	t.Helper()
	if got := s.do(t, "DELETE", strings.Replace(path, "{number}", "5", 1), ""); got.status != 405 || got.Code != zinniatide.CodeMethodNotSupported || got.header.Get("Allow") == "" {
		t.Errorf("DELETE %s: got %d %s", path, got.status, got.body)
	}
}

// Guards against codes that are missing in docs/errors.md or docs/openapi.yaml,
// and against operations that return another status or outcome than
// docs/errors.md states.
func TestEveryCodeIsDocumented(t *testing.T) {
	spec, s := loadAPISpec(t), startServer(t, nil)
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
				if got.status != status || got.Code != refusal.Code || got.Outcome != refusal.Outcome || got.Message != "m" {
					t.Errorf("%s: got %d %s, want %d %+v", o, got.status, got.body, status, refusal)
				}
				spec.validate(t, o, got.body, "components", "schemas", "Refusal")
			}
		}
	}
	inSpec := map[string]bool{}
	for _, code := range spec.lookup("components", "schemas", "Code", "enum").([]any) {
		inSpec[code.(string)] = true
	}
	inSource := sourceCodes(t)
	if !maps.Equal(documented, inSource) || !maps.Equal(inSpec, inSource) {
		t.Errorf("codes differ:\nerrors.go    %v\nerrors.md    %v\nopenapi.yaml %v", inSource, documented, inSpec)
	}
	s.err = errors.New("secret detail")
	if got := s.do(t, "POST", "/v1/execute", executeBody); got.status != 500 || got.Code != zinniatide.CodeInternal || got.Outcome != zinniatide.OutcomeUnknown || strings.Contains(got.Message, "secret") || got.RequestID != "1700000060000-abcdefgh" {
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

// Guards against a VM that accepts work without a lease, or operator requests
// without the control role.
func TestLeaseAndControlRoleRequired(t *testing.T) {
	s := startServer(t, func(_ *gateway.Config, d *gateway.Dependencies) { d.Operator = nil })
	for _, o := range []string{"POST /v1/tickets", "GET /v1/tickets", "GET /v1/tickets/5", "GET /v1/state", "GET /v1/none", "GET /v1/tickets/5/6"} {
		method, path, _ := strings.Cut(o, " ")
		if got := s.do(t, method, path, bodies[o]); got.status != 404 || got.Code != zinniatide.CodeNotFound {
			t.Errorf("%s: got %d %s", o, got.status, got.body)
		}
	}
	s.clock.Advance(4000) // to the end of the lease
	for _, o := range []string{"POST /v1/search", "POST /v1/execute"} {
		method, path, _ := strings.Cut(o, " ")
		if got := s.do(t, method, path, bodies[o]); got.status != 503 || got.Code != zinniatide.CodeNotServing || got.Outcome != zinniatide.OutcomeNotRun || got.RequestID == "" {
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

// Guards against examples in docs/openapi.yaml that do not match their schemas,
// for the operations that backend servers implement.
func TestBackendExamplesMatchSchema(t *testing.T) {
	spec := loadAPISpec(t)
	for _, path := range []string{"/v1/sub-query", "/v1/sub-execute"} {
		for _, node := range [][]string{{"requestBody"}, {"responses", "200"}} {
			keys := append(append([]string{"paths", path, "post"}, node...), "content", "application/json")
			example, err := json.Marshal(spec.lookup(append(keys, "example")...))
			if err != nil {
				t.Fatal(err)
			}
			spec.validate(t, path, example, append(keys, "schema")...)
		}
	}
}
