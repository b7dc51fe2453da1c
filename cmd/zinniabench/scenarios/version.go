package scenarios

import (
	"fmt"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
	"zinniatide.example/zinniatide/provisioner"
	"zinniatide.example/zinniatide/recorder"
)

const (
	versionRate = 120 // queries per second
	versionTime = 16 * time.Second
	versionStep = 2 * time.Second
	// rolloutParts divides a step into the pauses between the changes of two
	// servers, so that running queries meet servers of both kinds.
	rolloutParts = 50
)

func versionPlan() plan {
	return plan{
		shards: 10, serversPerZone: 10, searchers: 1, slots: 3, serviceTime: 5, minTime: 2,
		cold: warm, entries: 6, delay: associationDelay,
	}
}

// versionChange brings a new index version under load and removes the old one.
var versionChange = Scenario{Name: "version-change", Run: func(e *Env) error {
	return runVersion(e, "version-change", 1)
}}

// repartition brings a new index version with twice the shards.
var repartition = Scenario{Name: "repartition", Run: func(e *Env) error {
	return runVersion(e, "repartition", 2)
}}

func runVersion(e *Env, name string, factor uint32) error {
	p := versionPlan()
	c, err := e.start(p)
	if err != nil {
		return err
	}
	defer c.Close()
	l := e.callers(c, time.Second, "counter")
	l.load(recorder.New(), versionRate/2, 2*time.Second, "warm-up")
	r, failed := recorder.New(), make(chan error, 1)
	go func() {
		time.Sleep(versionStep)
		failed <- replaceVersion(c, p, factor, versionStep)
	}()
	l.load(r, versionRate, versionTime, name)
	if err := <-failed; err != nil {
		return err
	}
	if err := checkVersions(r); err != nil {
		return err
	}
	return e.reportAll(name, []metric{
		{"mixed-answers", "count", none, float64(r.Wrong(loader.ErrMixed))},
		{"false-coverage", "count", none, float64(r.Wrong(loader.ErrCoverage))},
		{"p99", "ms", none, r.Quantile(0.99)},
	})
}

// replaceVersion makes version 2, with factor times the shards, appear on one
// server after the other and in a ticket. Then half of the servers drop
// version 1 while the configuration still allows it, a ticket removes it, and
// the others drop it.
func replaceVersion(c *cluster.Cluster, p plan, factor uint32, step time.Duration) error {
	both := p.setting()
	next := zinniatide.IndexVersionSetting{Version: 2, ShardCount: p.shards * factor}
	both.Versions = append(both.Versions, next)
	filed := make(chan error, 1)
	go func() {
		_, err := c.File(&zinniatide.Ticket{Services: map[zinniatide.ServiceID]*zinniatide.ServiceSetting{service: both}})
		filed <- err
	}()
	rollOut(c, p, factor, rollout{0, 1, true, step / rolloutParts})
	if err := <-filed; err != nil {
		return err
	}
	time.Sleep(step)
	rollOut(c, p, factor, rollout{0, 2, false, step / rolloutParts})
	only := p.setting()
	only.Versions = []zinniatide.IndexVersionSetting{next}
	go func() {
		_, err := c.File(&zinniatide.Ticket{Services: map[zinniatide.ServiceID]*zinniatide.ServiceSetting{service: only}})
		filed <- err
	}()
	rollOut(c, p, factor, rollout{1, 2, false, step / rolloutParts})
	if err := <-filed; err != nil {
		return err
	}
	time.Sleep(step)
	return nil
}

// rollout says which servers change, and whether they keep version 1.
type rollout struct {
	first, stride int
	withOld       bool
	pause         time.Duration
}

// rollOut gives servers version 2, one after the other.
func rollOut(c *cluster.Cluster, p plan, factor uint32, o rollout) {
	layout := p.layout()
	next := layout
	next.Version, next.ShardCount, next.SearchersPerServer = 2, p.shards*factor, p.searchers*int(factor)
	for i := o.first; i < len(c.StandIns.Servers); i += o.stride {
		place := i % p.serversPerZone
		searchers := provisioner.Searchers(next, place)
		if o.withOld {
			searchers = append(searchers, provisioner.Searchers(layout, place)...)
		}
		c.StandIns.Servers[i].SetOffers([]zinniatide.ServiceOffer{{Service: service, Searchers: searchers}})
		time.Sleep(o.pause)
	}
}

// checkVersions returns an error unless both versions were searched, and the
// new one alone at the end.
func checkVersions(r *recorder.Recorder) error {
	version := func(v zinniatide.IndexVersion) int {
		return r.Count(func(s recorder.Sample) bool { return s.Err == nil && s.Version == v })
	}
	if version(1) == 0 || version(2) == 0 {
		return fmt.Errorf("version 1 gave %d answers, version 2 %d; first error: %w", version(1), version(2), r.FirstError())
	}
	samples := r.Samples()
	if last := samples[len(samples)-1]; last.Err != nil || last.Version != 2 || last.Coverage < 1 {
		return fmt.Errorf("the last search got version %d with coverage %.3f and error %w", last.Version, last.Coverage, last.Err)
	}
	return nil
}
