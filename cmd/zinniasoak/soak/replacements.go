package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// replacementRoutes is the number of routes that no change touches.
	replacementRoutes = 20
	// replacementInterval is longer than a control process needs to take the place of
	// another one: its lease has to expire first.
	replacementInterval = 8500 * time.Millisecond
	// replacementGap is the longest time between the end of a control process and the
	// start of the next one.
	replacementGap = time.Second
	// seedLag is how long settings files name a control process that is gone.
	seedLag        = 3 * time.Second
	changeInterval = 300 * time.Millisecond
	// repairTime is how long after its start a control process may take to become a voter:
	// from then on the next one may be lost.
	repairTime = 4 * time.Second
	// repairLimit is how long the run waits for that at most.
	repairLimit = 60 * time.Second
	// maxDiskStall is the longest write for repairTime to be judged.
	maxDiskStall = 250 * time.Millisecond
)

// settingsUpdate is how a running process learns of changed settings.
type settingsUpdate int

const (
	settingsWithSignal settingsUpdate = iota
	settingsWithoutSignal
	settingsUnchanged // until the next start
	settingsUpdateCount
)

// replacements plays control processes that are replaced one after the other by empty
// ones at other addresses, while relay processes are away.
type replacements struct {
	*storm
	random  *rand.Rand
	updates map[string]settingsUpdate // by name of a relay process
	// absences describes the relay processes that were away.
	absences []string
	repairs  []time.Duration
	// unjudged are the promises that were not judged, because the machine was stalled.
	unjudged []string
}

// RunReplacements starts the system and replaces all control processes. Meanwhile some
// relay processes are suspended or down, for any time up to that of all replacements.
// It verifies which version of the configuration is in force, and that every relay
// process follows the newest one at the end.
func RunReplacements(cfg Config) (summary string, err error) {
	h, err := cfg.startSystem(nil)
	if err != nil {
		return "", err
	}
	defer func() { h.stopSystem(cfg.Dir == "" && err == nil) }()
	h.document = func(version int) []byte { return stormDocument(version, replacementRoutes) }
	r := &replacements{
		storm:   &storm{h: h, cfg: StormConfig{Config: cfg}, stop: make(chan struct{}), reads: map[string]int{}, probes: map[string]int{}},
		random:  rand.New(rand.NewPCG(cfg.Seed, 2)), //nolint:gosec // reproducible for each seed
		updates: map[string]settingsUpdate{},
	}
	r.judges = r.mustFollow
	if err := r.run(); err != nil {
		return "", err
	}
	summary = fmt.Sprintf("replacements seed %d: version %d, slowest acknowledgement %v, repairs %v, reads %v, probes %v, away %v, violations %d, not judged: %v",
		cfg.Seed, h.ackedVersion, r.slowestAck.Round(time.Millisecond), r.repairs, r.reads, r.probes, r.absences, len(h.violations), r.unjudged)
	if len(h.violations) > 0 {
		return summary, fmt.Errorf("seed %d, logs in %s:\n%s", cfg.Seed, h.dir, strings.Join(h.violations, "\n"))
	}
	return summary, nil
}

// mustFollow reports whether p is bound by what was acknowledged: it and the control
// processes have run undisturbed for calmTime before the given time and since.
func (r *replacements) mustFollow(p *process, at time.Time) bool {
	return p.calmSince(at.Add(-calmTime)) && r.h.cluster.controlsCalmSince(at.Add(-calmTime))
}

func (r *replacements) run() error {
	for i := range plainServerCount {
		if err := r.h.addBackend("plain", zones[i%3]); err != nil {
			return err
		}
	}
	for first := time.Now(); !r.change(1, 0); {
		if time.Since(first) > startTimeout {
			return fmt.Errorf("no control process accepts the first configuration within %v", startTimeout)
		}
	}
	time.Sleep(applyTimeout)
	if err := r.awaitVoters(time.Now().Add(repairLimit)); err != nil {
		return err
	}
	r.start = time.Now()
	var checks, absent sync.WaitGroup
	for _, p := range r.h.cluster.relays() {
		r.updates[p.name] = settingsUpdate(r.random.IntN(int(settingsUpdateCount)))
		checks.Add(1)
		go func() {
			defer checks.Done()
			r.probe(p)
		}()
	}
	checks.Add(1)
	go func() {
		defer checks.Done()
		r.sendChanges()
	}()
	r.sendAway(&absent)
	for _, i := range r.random.Perm(3) {
		next := time.Now().Add(replacementInterval + time.Duration(r.random.IntN(1000))*time.Millisecond)
		gap, silent := time.Duration(r.random.Int64N(int64(replacementGap))), r.random.IntN(2) == 0
		if err := r.replace(i, gap, silent); err != nil {
			return err
		}
		time.Sleep(time.Until(next))
	}
	r.strikeCore()
	absent.Wait()
	returned := r.h.cluster.resumeRetired()
	time.Sleep(2*calmTime + applyTimeout)
	for _, p := range returned {
		r.readFrom(p)
	}
	close(r.stop)
	checks.Wait()
	r.checkFollowed()
	return nil
}

// replace replaces the i-th control process, updates the settings files, and verifies
// that the successor becomes a voter in time. It returns once it is one, so that no two
// control processes are lost at once.
func (r *replacements) replace(i int, gap time.Duration, silent bool) error {
	meter, disk := startStallMeter(), startDiskMeter(r.h.dir)
	if err := r.h.cluster.replaceControl(i, gap, silent); err != nil {
		return err
	}
	startedAt := time.Now()
	updated := make(chan struct{})
	go func() {
		defer close(updated)
		time.Sleep(seedLag)
		r.updateSettings()
	}()
	err := r.awaitVoters(startedAt.Add(repairLimit))
	took := time.Since(startedAt).Round(time.Millisecond)
	<-updated
	late, stalled := meter.stalled()
	write := disk.longestWrite()
	r.repairs = append(r.repairs, took)
	switch {
	case err != nil:
		return err
	case took <= repairTime:
	case stalled || write > maxDiskStall:
		r.unjudged = append(r.unjudged, fmt.Sprintf("repair in %v, the machine ran %v late and wrote for %v", took, late, write))
	default:
		r.h.violate("REPAIR: %s became a voter %v after its start, want at most %v", r.h.cluster.controls()[i].name, took, repairTime)
	}
	return nil
}

// awaitVoters waits until the control processes are the voters of the log.
func (r *replacements) awaitVoters(end time.Time) error {
	for ; ; time.Sleep(readInterval / 4) {
		if r.votersMatch() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("seed %d, logs in %s: the control processes are not the voters within %v", r.cfg.Seed, r.h.dir, repairLimit)
		}
	}
}

// votersMatch reports whether one of the control processes has logged that all of them
// are the voters.
func (r *replacements) votersMatch() bool {
	controls := r.h.cluster.controls()
	for _, p := range controls {
		voters := lastLine(filepath.Join(p.dir, "log"), "voters changed")
		named := 0
		for _, other := range controls {
			if strings.Contains(voters, fmt.Sprintf(`{"vm":"%s:%d"`, other.ip, peerPort)) {
				named++
			}
		}
		if named == len(controls) && strings.Count(voters, `"disk"`) == len(controls) {
			return true
		}
	}
	return false
}

// lastLine returns the last line of a file that contains text, or nothing.
func lastLine(path, text string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "" // the process has not started yet
	}
	last := ""
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			last = line
		}
	}
	return last
}

// sendAway suspends or ends two relay processes for a random time.
func (r *replacements) sendAway(absent *sync.WaitGroup) {
	relays := r.h.cluster.relays()
	for _, i := range r.random.Perm(len(relays))[:2] {
		p, suspend := relays[i], r.random.IntN(3) > 0
		delay := time.Duration(r.random.IntN(4000)) * time.Millisecond
		away := time.Duration(1+r.random.IntN(4)) * replacementInterval * 9 / 10
		r.absences = append(r.absences, fmt.Sprintf("%s %v after %v, suspended %v, settings %d", p.name, away, delay, suspend, r.updates[p.name]))
		absent.Add(1)
		go func() {
			defer absent.Done()
			time.Sleep(delay)
			if !suspend {
				p.mu.Lock()
				p.downUntil = time.Now().Add(away)
				p.mu.Unlock()
				p.signal(syscall.SIGKILL)
				time.Sleep(away)
				return
			}
			p.signal(syscall.SIGSTOP)
			time.Sleep(away)
			p.signal(syscall.SIGCONT)
		}()
	}
}

// strikeCore ends all control processes at the same time, in every other run.
func (r *replacements) strikeCore() {
	if r.random.IntN(2) == 0 {
		return
	}
	r.absences = append(r.absences, "all control processes, killed at once")
	for _, p := range r.h.cluster.controls() {
		p.signal(syscall.SIGKILL)
	}
}

// readFrom verifies that a former control process answers no read with an older version.
func (r *replacements) readFrom(p *process) {
	outcome := "refused by a former control process"
	for end := time.Now().Add(applyTimeout); time.Now().Before(end); time.Sleep(readInterval) {
		if r.h.readConfig(p) {
			outcome = "ok from a former control process"
			break
		}
	}
	r.h.mu.Lock()
	r.reads[outcome]++
	r.h.mu.Unlock()
}

// updateSettings writes the present control processes into the settings files, also of
// suspended processes.
func (r *replacements) updateSettings() {
	for _, p := range r.h.cluster.all() {
		update := r.updates[p.name] // with a signal for control processes
		if update == settingsUnchanged {
			continue
		}
		if err := p.writeSettings(false); err != nil {
			r.h.violate("RUN: settings of %s cannot be written: %v", p.name, err)
		}
		if update == settingsWithSignal {
			p.reload()
		}
	}
}

// sendChanges sends versions of the configuration until the run ends.
func (r *replacements) sendChanges() {
	for version := 2; ; version++ {
		r.sendUntilAcknowledged(version)
		select {
		case <-r.stop:
			return
		case <-time.After(changeInterval):
		}
	}
}

// checkFollowed verifies that each relay process serves the newest route, and that the
// configuration can be read back.
func (r *replacements) checkFollowed() {
	client := &http.Client{Timeout: callTimeout}
	newest := r.ackedBefore(time.Now())
	for _, p := range r.h.cluster.relays() {
		status := 0
		for end := time.Now().Add(applyTimeout); status != http.StatusOK && time.Now().Before(end); time.Sleep(probeInterval) {
			status = r.sendProbe(client, p, newest)
		}
		if status != http.StatusOK {
			r.h.violate("RECOVER: %s answers %d on the newest route, version %d, %v after the last fault", p.name, status, newest, 2*calmTime+2*applyTimeout)
		}
	}
	for range 20 {
		if r.h.checkConfig() {
			return
		}
		time.Sleep(readInterval)
	}
	r.h.violate("CONFIG: the configuration cannot be read back")
}
