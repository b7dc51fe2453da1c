package reporter

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"zinniatide.example/zinniatide/platform"
)

// TestDayPage guards against missing rows, unescaped names and plots without
// their curves or shaded disruptions.
func TestDayPage(t *testing.T) {
	const goldenPage = "testdata/day.golden.html"
	count := platform.DayCount{Name: "a<b>", InTarget: 20, Late: 5, Refused: 3, Failed: 2, MedianLatency: 41.5, TailLatency: 300, WorthShare: 0.7}
	day := &platform.DayReport{Served: 0.92, Kinds: []platform.DayCount{count}, Zones: []platform.DayCount{count},
		Spans:       []platform.DaySpan{{Start: 0, DayCount: count}, {Start: 2, DayCount: count}},
		Disruptions: []platform.Disruption{{Start: 0.5, End: 1.5, What: "slow: 3 servers"}, {Start: 2, End: 2.5, What: "change", Planned: true}},
		Broken:      []string{"LOST", "TWICE"}}
	var got bytes.Buffer
	if err := WriteDays(&got, []Day{{Name: "trouble", DayReport: day}}); err != nil {
		t.Fatal(err)
	}
	plots := regexp.MustCompile(`(?s)<svg.*?</svg>`)
	svg := string(plots.Find(got.Bytes()))
	for _, name := range []string{"in target", "late", "refused", "failed"} {
		if !strings.Contains(svg, ">"+name+"<") {
			t.Errorf("the plot has no curve %q", name)
		}
	}
	if got, want := strings.Count(svg, "fill-opacity"), len(day.Disruptions); got != want {
		t.Errorf("got %d shaded disruptions, want %d", got, want)
	}
	text := plots.ReplaceAll(got.Bytes(), []byte("<svg></svg>"))
	if *update {
		if err := os.WriteFile(goldenPage, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenPage)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("got\n%s\nwant\n%s", text, want)
	}
}
