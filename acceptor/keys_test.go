package acceptor

import (
	"strings"
	"testing"

	"zinniatide.example/zinniatide/relayer"
)

// sendHead sends a GET request with the given header lines and returns the request that
// the handler got, or the status of a refusal.
func sendHead(t *testing.T, lines string) (*relayer.Request, int) {
	t.Helper()
	f := newFakeHandler()
	_, address := start(t, f)
	c := dial(t, address)
	c.write("GET /a HTTP/1.1\r\n" + head + lines + "\r\n")
	status, _, _ := c.answer()
	if seen := f.seen(); len(seen) > 0 {
		return &seen[0], status
	}
	return nil, status
}

// Guards against a credential that is read from another header than the one that servers
// would read, and against headers of keys that stay in the head, where they would reach
// servers.
func TestKeyHeadersAreKeptApart(t *testing.T) {
	for _, row := range []struct{ name, lines, credential, apart string }{
		{"none", "X-Keep: 1\r\n", "", ""},
		{"both", "X-Keep: 1\r\nX-Tenant: t\r\nAuthorization: Token k\r\n", "Token k", "X-Tenant: t\r\nAuthorization: Token k\r\n"},
		{"lower case", "x-tenant: t\r\nauthorization: Token k\r\nX-Keep: 1\r\n", "Token k", "X-Tenant: t\r\nAuthorization: Token k\r\n"},
		{"odd case", "x-TeNaNt: t\r\naUTHORIZATION: Token k\r\nX-Keep: 1\r\n", "Token k", "X-Tenant: t\r\nAuthorization: Token k\r\n"},
		{"blanks in the value", "X-Keep: 1\r\nAuthorization:\t Token k \t\r\n", "Token k", "Authorization: Token k\r\n"},
		{"repeated workspace", "X-Tenant: t\r\nX-Keep: 1\r\nX-Tenant: u\r\n", "", "X-Tenant: t\r\nX-Tenant: u\r\n"},
		{"repeated key", "Authorization: Token k\r\nAuthorization: Token l\r\nX-Keep: 1\r\n", "", "Authorization: Token k\r\nAuthorization: Token l\r\n"},
		{"underscore", "X_Tenant: t\r\nX-Keep: 1\r\n", "", "X_tenant: t\r\n"},
		{"named by Connection", "Connection: X-Tenant, Authorization\r\nX-Tenant: t\r\nAuthorization: Token k\r\nX-Keep: 1\r\n", "Token k", ""},
		{"named by a second Connection", "Connection: keep-alive\r\nConnection: x-tenant\r\nX-Tenant: t\r\nX-Keep: 1\r\n", "", "X-Tenant: t\r\n"},
	} {
		req, status := sendHead(t, row.lines)
		if req == nil {
			t.Errorf("%s: got status %d, want the request served", row.name, status)
			continue
		}
		if got := string(req.Credential); got != row.credential {
			t.Errorf("%s: got credential %q, want %q", row.name, got, row.credential)
		}
		if got := string(req.KeyHeaders); got != row.apart {
			t.Errorf("%s: got lines %q apart, want %q", row.name, got, row.apart)
		}
		if got, want := string(req.Head), "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Keep: 1\r\n"; row.apart != "" && got != want {
			t.Errorf("%s: got head %q, want %q", row.name, got, want)
		}
	}
}

// Guards against a workspace or key that reaches the head by a line that the parser of
// the system and that of a server read in different ways.
func TestNoKeyHeaderIsSmuggled(t *testing.T) {
	for name, lines := range map[string]string{
		"blank before the colon":    "X-Tenant : evil\r\nAuthorization : evil\r\n",
		"tab before the colon":      "X-Tenant\t: evil\r\nAuthorization\t: evil\r\n",
		"blank before the name":     " X-Tenant: evil\r\n",
		"folded line":               "X-Keep: 1\r\n X-Tenant: evil\r\n",
		"folded line with a tab":    "X-Keep: 1\r\n\tAuthorization: evil\r\n",
		"bare line feed":            "X-Keep: 1\nX-Tenant: evil\r\n",
		"bare carriage return":      "X-Keep: 1\rX-Tenant: evil\r\n",
		"null in the name":          "X-Tenant\x00: evil\r\n",
		"null in a value":           "X-Keep: 1\x00\r\nX-Tenant: evil\r\n",
		"named by Connection":       "Connection: close, X-Tenant\r\nX-Tenant: evil\r\n",
		"options with blanks":       "Connection: \t x-tenant ,close\r\nX-Tenant: evil\r\n",
		"no colon":                  "X-Tenant\r\nevil\r\n",
		"mixed hyphen, underscore":  "x_TENANT: evil\r\nX_tenant: evil\r\n",
		"trailer":                   "Transfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n\r\n0\r\nX-Tenant: evil\r\n",
		"trailer that is not named": "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Tenant: evil\r\n",
	} {
		req, status := sendHead(t, lines)
		if req == nil {
			if status != 400 {
				t.Errorf("%s: got status %d, want 400 if the request is not served", name, status)
			}
			continue
		}
		if len(req.Credential) > 0 {
			t.Errorf("%s: got credential %q, want none", name, req.Credential)
		}
		for line := range strings.FieldsFuncSeq(string(req.Head), func(r rune) bool { return r == '\r' || r == '\n' }) {
			// A folded line becomes a part of the value before it (RFC 9112, section 5.2).
			field, _, _ := strings.Cut(strings.ToLower(line), ":")
			if strings.Contains(field, "tenant") || strings.Contains(field, "authorization") || strings.TrimSpace(field) == "evil" {
				t.Errorf("%s: got line %q in the head, want no line of a key or a workspace", name, line)
			}
		}
	}
}
