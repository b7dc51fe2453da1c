package checker

import (
	"math"
	"slices"
	"strings"
	"testing"

	"zinniatide.example/zinniatide"
)

// Guards against tables in which a key admits two workspaces, or whose names and limits
// cannot be used.
func TestInvalidWorkspaces(t *testing.T) {
	key := zinniatide.DigestKey([]byte("k"))
	for name, workspaces := range map[string][]zinniatide.RelayWorkspace{
		"shared key":  {{Workspace: "a", Keys: []zinniatide.KeyDigest{key}}, {Workspace: "b", Keys: []zinniatide.KeyDigest{key}}},
		"same name":   {{Workspace: "a"}, {Workspace: "a"}},
		"no name":     {{}},
		"no UTF-8":    {{Workspace: "\xff"}},
		"NaN rate":    {{Workspace: "a", Rate: math.NaN()}},
		"endless":     {{Workspace: "a", Rate: math.Inf(1)}},
		"rate below":  {{Workspace: "a", Rate: -1}},
		"NaN burst":   {{Workspace: "a", Burst: math.NaN()}},
		"burst below": {{Workspace: "a", Burst: math.Inf(-1)}},
	} {
		if err := CheckRouting(1, &zinniatide.Routing{KeysRequired: true, Workspaces: workspaces}); err == nil {
			t.Errorf("%s: got no error, want a refusal", name)
		}
	}
	valid := []zinniatide.RelayWorkspace{{Workspace: "a b", Keys: []zinniatide.KeyDigest{key}, Rate: 0.5}, {Workspace: "Zürich", Burst: 3}, {Workspace: "c"}}
	if err := CheckRouting(1, &zinniatide.Routing{KeysRequired: true, Workspaces: valid}); err != nil {
		t.Errorf("got %v, want a valid table", err)
	}
}

// Guards against changes of workspaces that operators do not see, and against a list of
// changes that shows keys or digests.
func TestDifferenceOfWorkspaces(t *testing.T) {
	digest := func(key string) zinniatide.KeyDigest { return zinniatide.DigestKey([]byte(key)) }
	one := 1
	before := &zinniatide.Routing{KeysRequired: true, Workspaces: []zinniatide.RelayWorkspace{
		{Workspace: "gone", Keys: []zinniatide.KeyDigest{digest("g")}}, {Workspace: "kept", Keys: []zinniatide.KeyDigest{digest("1"), digest("2")}, Rate: 5},
		{Workspace: "same", Keys: []zinniatide.KeyDigest{digest("s")}},
	}}
	after := &zinniatide.Routing{Workspaces: []zinniatide.RelayWorkspace{
		{Workspace: "kept", Keys: []zinniatide.KeyDigest{digest("2"), digest("3")}, Rate: 6, Priority: &one},
		{Workspace: "new", Keys: []zinniatide.KeyDigest{digest("n")}}, {Workspace: "same", Keys: []zinniatide.KeyDigest{digest("s")}},
	}}
	got := Difference(&zinniatide.Configuration{Routing: before}, &zinniatide.Ticket{Routing: after})
	want := []string{
		`- routing.workspaces.gone.workspace: "gone"`,
		"+ routing.workspaces.kept.priority: 1",
		"~ routing.workspaces.kept.rate: 5 -> 6",
		`+ routing.workspaces.new.workspace: "new"`,
		"~ routing.workspaces.gone.keys: 0 added, 1 removed",
		"~ routing.workspaces.kept.keys: 1 added, 1 removed",
		"~ routing.workspaces.new.keys: 1 added, 0 removed",
		"~ routing.keys-required: true -> false",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
