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
	versionRate     = 120 // queries per second
	versionDuration = 16 * time.Second
	versionPause    = 2 * time.Second
	// rolloutParts is the number of pauses between server changes that fit in one
	// step of replaceVersion. The pauses let running queries see servers with and
	// without a version.
	rolloutParts = 50
)

func versionConfig() systemConfig {
	return systemConfig{
		shards: 10, serversPerZone: 10, searchersPerServer: 1, slots: 3, serviceTime: 5, minServiceTime: 2,
		assumedColdStart: unlimitedRamp, entryVMs: 6, linkDelay: zoneLinkDelay,
	}
}

// versionChange adds a new index version under load and removes the old one.
var versionChange = Scenario{Name: "version-change", Run: func(e *Env) error {
	return runVersionChange(e, "version-change", 1)
}}

// repartition adds a new index version with twice the shards and removes the old
// one.
var repartition = Scenario{Name: "repartition", Run: func(e *Env) error {
	return runVersionChange(e, "repartition", 2)
}}

func runVersionChange(e *Env, name string, factor uint32) error {
	cfg := versionConfig()
	c, err := e.startCluster(cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	l := e.newCallers(c, time.Second, "counter")
	l.sendSearches(recorder.New(), versionRate/2, 2*time.Second, "warm-up")
	r, failed := recorder.New(), make(chan error, 1)
	go func() {
		time.Sleep(versionPause)
		failed <- replaceVersion(c, cfg, factor, versionPause)
	}()
	l.sendSearches(r, versionRate, versionDuration, name)
	if err := <-failed; err != nil {
		return err
	}
	if err := checkVersions(r); err != nil {
		return err
	}
	return e.reportMetrics(name, []metric{
		{"mixed-answers", "count", noValue, float64(r.CountErrors(loader.ErrMixedVersions))},
		{"false-coverage", "count", noValue, float64(r.CountErrors(loader.ErrWrongCoverage))},
		{"p99", "ms", noValue, r.Quantile(0.99)},
	})
}

// replaceVersion replaces version 1 by version 2, which has factor times the
// shards. First, a ticket adds version 2 while one server after the other offers
// it. Next, half of the servers drop version 1 while it is still configured.
// Finally, a ticket removes version 1 while the other servers drop it.
func replaceVersion(c *cluster.Cluster, cfg systemConfig, factor uint32, step time.Duration) error {
	both := cfg.serviceSetting()
	next := zinniatide.IndexVersionSetting{Version: 2, ShardCount: cfg.shards * factor}
	both.Versions = append(both.Versions, next)
	filed := make(chan error, 1)
	go func() {
		_, err := c.FileTicket(&zinniatide.Ticket{Services: map[zinniatide.ServiceID]*zinniatide.ServiceSetting{serviceID: both}})
		filed <- err
	}()
	rollOut(c, cfg, factor, rolloutStep{first: 0, stride: 1, keepOld: true, pause: step / rolloutParts})
	if err := <-filed; err != nil {
		return err
	}
	time.Sleep(step)
	rollOut(c, cfg, factor, rolloutStep{first: 0, stride: 2, keepOld: false, pause: step / rolloutParts})
	only := cfg.serviceSetting()
	only.Versions = []zinniatide.IndexVersionSetting{next}
	go func() {
		_, err := c.FileTicket(&zinniatide.Ticket{Services: map[zinniatide.ServiceID]*zinniatide.ServiceSetting{serviceID: only}})
		filed <- err
	}()
	rollOut(c, cfg, factor, rolloutStep{first: 1, stride: 2, keepOld: false, pause: step / rolloutParts})
	if err := <-filed; err != nil {
		return err
	}
	time.Sleep(step)
	return nil
}

// rolloutStep selects the servers that change to version 2 and tells whether they
// keep version 1.
type rolloutStep struct {
	first, stride int
	keepOld       bool
	pause         time.Duration
}

// rollOut makes servers offer version 2, one after the other.
func rollOut(c *cluster.Cluster, cfg systemConfig, factor uint32, o rolloutStep) {
	layout := cfg.layout()
	next := layout
	next.Version, next.ShardCount, next.SearchersPerServer = 2, cfg.shards*factor, cfg.searchersPerServer*int(factor)
	for i := o.first; i < len(c.Backends.Emulators); i += o.stride {
		place := i % cfg.serversPerZone
		searchers := provisioner.Searchers(next, place)
		if o.keepOld {
			searchers = append(searchers, provisioner.Searchers(layout, place)...)
		}
		c.Backends.Emulators[i].SetOffers([]zinniatide.ServiceOffer{{Service: serviceID, Searchers: searchers}})
		time.Sleep(o.pause)
	}
}

// checkVersions returns an error unless both versions were searched and the last
// search got a complete answer from version 2.
func checkVersions(r *recorder.Recorder) error {
	version := func(v zinniatide.IndexVersion) int {
		return r.Count(func(s recorder.Sample) bool { return s.Err == nil && s.Version == v })
	}
	if version(1) == 0 || version(2) == 0 {
		return fmt.Errorf("%d answers from version 1, %d from version 2, want both above 0; first error: %w", version(1), version(2), r.FirstError())
	}
	samples := r.Samples()
	if last := samples[len(samples)-1]; last.Err != nil || last.Version != 2 || last.Coverage < 1 {
		return fmt.Errorf("the last search got version %d with coverage %.3f and error %w", last.Version, last.Coverage, last.Err)
	}
	return nil
}
