package provisioner_test

import (
	"os"
	"path/filepath"
	"testing"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/provisioner"
)

// Guards against sample settings that the system refuses, and against a layout
// whose stand-ins do not serve every shard of its ticket in every zone.
func TestSampleDeployments(t *testing.T) {
	tickets, err := checker.New()
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range []string{"../deploy/association", "../deploy/barafu"} {
		ticket, _, err := tickets.Decode(read(t, filepath.Join(folder, "ticket-1.json")))
		if err != nil {
			t.Fatalf("%s: %v", folder, err)
		}
		layout, err := provisioner.Decode(read(t, filepath.Join(folder, "stand-ins.json")))
		if err != nil {
			t.Fatalf("%s: %v", folder, err)
		}
		for _, s := range layout.Services {
			setting := ticket.Services[s.Service]
			if setting == nil {
				t.Errorf("%s: service %s is not in the ticket", folder, s.Service)
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
					t.Errorf("%s: %s: shard %v has no searcher in each zone", folder, s.Service, shard)
				}
			}
		}
	}
}

// Guards against a layout with a misspelt field that runs with a default.
func TestDecodeRefusals(t *testing.T) {
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

func read(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
