package authenticator

import (
	"fmt"
	"testing"

	"zinniatide.example/zinniatide"
)

func digests(keys ...string) []zinniatide.KeyDigest {
	out := make([]zinniatide.KeyDigest, 0, len(keys))
	for _, k := range keys {
		out = append(out, zinniatide.DigestKey([]byte(k)))
	}
	return out
}

// Guards against requests that are admitted without a known key, that are refused with
// one, or that are counted for another workspace.
func TestAuthenticate(t *testing.T) {
	table := &zinniatide.Routing{KeysRequired: true, Workspaces: []zinniatide.RelayWorkspace{
		{Workspace: "a", Keys: digests("a-1", "a-2", "with space")}, {Workspace: "b", Keys: digests("b-1")}, {Workspace: "none"},
	}}
	for _, row := range []struct {
		credential string
		want       zinniatide.WorkspaceID
	}{
		{"Token a-1", "a"}, {"Token a-2", "a"}, {"Token b-1", "b"}, {"token b-1", "b"}, {"TOKEN  b-1 ", "b"}, {"Token with space", "a"},
		{"", ""}, {"Token", ""}, {"Token ", ""}, {"Token b-2", ""}, {"Token B-1", ""}, {"b-1", ""}, {"Bearer b-1", ""}, {"Tokenb-1", ""},
		{"Token b-1,b-1", ""}, {"Token b-1 b-1", ""}, {"Token \x00", ""}, {"Token " + string(digests("b-1")[0][:]), ""},
	} {
		for _, public := range []bool{false, true} {
			workspace, ok := New(table, "Token").Authenticate(&zinniatide.Route{Public: public}, []byte(row.credential))
			if wantOK := public || row.want != ""; workspace != row.want || ok != wantOK {
				t.Errorf("%q, public %v: got %q, %v, want %q, %v", row.credential, public, workspace, ok, row.want, wantOK)
			}
		}
	}
}

// Guards against a table that admits everybody because all its workspaces were removed,
// and against one that refuses or names callers although it requires no keys.
func TestTablesWithoutWorkspaces(t *testing.T) {
	for _, required := range []bool{false, true} {
		a := New(&zinniatide.Routing{KeysRequired: required}, "Token")
		if workspace, ok := a.Authenticate(&zinniatide.Route{}, []byte("Token k")); workspace != "" || ok == required {
			t.Errorf("keys required %v: got %q, %v, want no workspace, %v", required, workspace, ok, !required)
		}
	}
}

// BenchmarkAuthenticate measures one lookup in tables of different sizes, for a known
// and for an unknown key.
func BenchmarkAuthenticate(b *testing.B) {
	for _, keys := range []int{1_000, 10_000} {
		table := &zinniatide.Routing{KeysRequired: true, Workspaces: []zinniatide.RelayWorkspace{{Workspace: "a"}}}
		for i := range keys {
			table.Workspaces[0].Keys = append(table.Workspaces[0].Keys, digests(fmt.Sprint("key-", i))...)
		}
		a := New(table, "Token")
		for name, credential := range map[string]string{"known": "Token key-7", "unknown": "Token other"} {
			b.Run(fmt.Sprintf("keys=%d/%s", keys, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					a.Authenticate(&zinniatide.Route{}, []byte(credential))
				}
			})
		}
	}
}
