package provisioner_test

import (
	"os"
	"path/filepath"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/provisioner"
)

// Guards against sample deployments whose ticket is invalid, or whose layout
// leaves a shard of the ticket without a searcher. All zones have the same
// searchers.
func TestSampleDeployments(t *testing.T) {
	ticketChecker, err := checker.New()
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"../deploy/association", "../deploy/barafu"} {
		ticket, _, err := ticketChecker.Decode(readFile(t, filepath.Join(folder, "ticket-1.json")))
		if err != nil {
			t.Fatalf("%s: %v", folder, err)
		}
		layout, err := provisioner.Decode(readFile(t, filepath.Join(folder, "stand-ins.json")))
		if err != nil {
			t.Fatalf("%s: %v", folder, err)
		}
		for _, s := range layout.Services {
			setting := ticket.Services[s.Service]
			if setting == nil {
				t.Errorf("%s: the ticket lacks service %s", folder, s.Service)
				continue
			}
			served := map[zinniatide.KeyRange]bool{}
			for i := range s.ServersPerZone {
				for _, searcher := range provisioner.Searchers(s, i) {
					served[searcher.KeyRange] = true
				}
			}
			for _, shard := range setting.Versions[0].Shards() {
				if !served[shard] {
					t.Errorf("%s: %s: shard %v has no searcher", folder, s.Service, shard)
				}
			}
		}
	}
}

// Guards against invalid layouts that are accepted, such as one with a
// misspelled field, which would run with a default.
func TestDecodeRejectsInvalidLayouts(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"zones": ["a"], "services": [{"servis": "x"}]}`,
		"no zones":      `{"services": [{}]}`,
		"no servers":    `{"zones": ["a"], "services": [{"service": "x", "shard-count": 1}]}`,
		"not JSON":      `zones`,
	} {
		if _, err := provisioner.Decode([]byte(text)); err == nil {
			t.Errorf("%s: accepted %s", name, text)
		}
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
