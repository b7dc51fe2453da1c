package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/recorder"
)

// pairs is the table of combined faults.
var pairs = []pair{
	{"zone-out-during-version-change", zoneOutDuringVersionChange},
	{"owner-loss-during-cold-start", ownerLossDuringColdStart},
	{"leader-loss-during-hand-over", leaderLossDuringHandOver},
	{"partition-during-ticket-race", partitionDuringTicketRace},
	{"silent-connections-during-zone-return", silentDuringZoneReturn},
	{"entry-loss-during-query-of-death", entryLossDuringQueryOfDeath},
	{"version-change-during-drain", versionChangeDuringDrain},
	{"cold-start-during-overload", coldStartDuringOverload},
}

const (
	pairStep = 500 * time.Millisecond
	// overloadFactor times the usual rate of searches is more than the slots of
	// the combined plan bear.
	overloadFactor = 30
	handOverSlow   = 30
	// killPatience is long enough for a VM to get one of the 4 requests that it
	// gets per second on average.
	killPatience = 3 * time.Second
)

func zoneOutDuringVersionChange(r *pairRun) error {
	work := func() int64 { return r.cluster.StandIns.Totals().WorkByZone[zones[2]] }
	if work() == 0 {
		return errors.New("the zone had no work")
	}
	if _, err := r.cluster.File(&zinniatide.Ticket{AvailabilityZones: states(zones[2], zinniatide.StateOut)}); err != nil {
		return err
	}
	if err := replaceVersion(r.cluster, r.plan, 1, pairStep); err != nil {
		return err
	}
	return checkReplaced(r.searches)
}

// checkReplaced returns an error unless both versions were searched.
func checkReplaced(r *recorder.Recorder) error {
	for _, version := range []zinniatide.IndexVersion{1, 2} {
		if r.Count(func(s recorder.Sample) bool { return s.Err == nil && s.Version == version }) == 0 {
			return fmt.Errorf("version %d gave no answer", version)
		}
	}
	return nil
}

func ownerLossDuringColdStart(r *pairRun) error {
	owner := r.lastEntry(zones[0])
	if err := r.restartZone(zones[0]); err != nil {
		return err
	}
	if owned, _ := r.buckets(owner, 1); owned == 0 {
		return errors.New("the VM owned no buckets")
	}
	r.cluster.Kill(owner)
	return nil
}

func leaderLossDuringHandOver(r *pairRun) error {
	leader, leaving := r.cluster.Leader(), r.lastEntry(zones[1])
	if leader < 0 {
		return errors.New("no control VM leads")
	}
	for _, s := range serversIn(r.cluster, zones[1]) {
		s.SetSlow(handOverSlow) // the hand-over waits for requests that run
	}
	time.Sleep(pairStep)
	raw, err := r.cluster.NextTicket(&zinniatide.Ticket{VMs: map[zinniatide.VMID]*zinniatide.StateSetting{
		r.cluster.VM(leaving): {State: zinniatide.StateLeaving},
	}})
	if err != nil {
		return err
	}
	if _, err := r.cluster.Node(leader).Operator().FileTicket(raw, false, 2000); err != nil {
		return err
	}
	for end := time.Now().Add(pairStep); ; time.Sleep(time.Millisecond) {
		if _, moving := r.buckets(leaving, leaving); moving > 0 {
			break
		}
		if time.Now().After(end) {
			return errors.New("no bucket was being handed over")
		}
	}
	r.cluster.Kill(leader)
	for _, s := range serversIn(r.cluster, zones[1]) {
		s.SetSlow(1)
	}
	return r.cluster.Wait(func() bool {
		owned, _ := r.buckets(leaving, leaving)
		return owned == 0
	})
}

func partitionDuringTicketRace(r *pairRun) error {
	victim := r.cluster.Leader()
	if victim < 0 {
		return errors.New("no control VM leads")
	}
	controls := r.cluster.Options.Controls
	others := []int{(victim + 1) % controls, (victim + 2) % controls}
	watch := watchEpochs(r.cluster)
	r.cluster.Network.CutOff(r.cluster.VM(victim))
	loser, err := race(r.operators, victim, others)
	if err != nil {
		return err
	}
	time.Sleep(pairStep)
	r.cluster.Network.Heal(r.cluster.VM(victim))
	if err := r.cluster.Wait(func() bool { return installed(r.cluster, r.operators.newest()) }); err != nil {
		return err
	}
	if err := resendLoser(r.cluster, loser, victim); err != nil {
		return err
	}
	if lost, reverted := r.operators.lost(), watch.count(); lost+reverted > 0 {
		return fmt.Errorf("%d accepted tickets were lost, and epochs went back %d times", lost, reverted)
	}
	return nil
}

func silentDuringZoneReturn(r *pairRun) error {
	if _, err := r.cluster.File(&zinniatide.Ticket{AvailabilityZones: states(zones[2], zinniatide.StateOut)}); err != nil {
		return err
	}
	time.Sleep(2 * pairStep)
	before := r.cluster.StandIns.Totals().WorkByZone[zones[2]]
	if _, err := r.cluster.File(&zinniatide.Ticket{AvailabilityZones: states(zones[2], zinniatide.StateIn)}); err != nil {
		return err
	}
	silenced := 0
	for _, s := range serversIn(r.cluster, zones[0]) {
		silenced += s.SilenceConnections()
	}
	time.Sleep(pairStep)
	for _, s := range serversIn(r.cluster, zones[2]) {
		silenced += s.SilenceConnections()
	}
	time.Sleep(2 * pairStep)
	if after := r.cluster.StandIns.Totals().WorkByZone[zones[2]]; silenced == 0 || after == before {
		return fmt.Errorf("%d connections went silent; the zone got %d requests after its return", silenced, after-before)
	}
	return nil
}

func entryLossDuringQueryOfDeath(r *pairRun) error {
	for _, s := range r.cluster.StandIns.Servers {
		s.SetCrashBody(deadlyText)
	}
	watch, stop := watchCrashes(r.cluster), make(chan struct{})
	d, sent := newDeadly(r.env, r.cluster), make(chan struct{})
	go func() {
		defer close(sent)
		d.send(stop)
	}()
	var killErr error
	for _, vm := range []int{r.lastEntry(zones[0]), r.lastEntry(zones[1])} {
		killErr = errors.Join(killErr, r.killAtWork(vm))
		time.Sleep(pairStep)
	}
	if killErr == nil {
		killErr = errors.Join(r.cluster.Start(r.lastEntry(zones[0])), r.cluster.Start(r.lastEntry(zones[1])))
		time.Sleep(2 * pairStep)
	}
	close(stop)
	<-sent
	crashes, err := watch.end()
	return errors.Join(killErr, err, d.check(crashes, false))
}

// killAtWork kills an entry VM while it runs a non-idempotent request.
func (r *pairRun) killAtWork(vm int) error {
	address := r.cluster.Entries()[vm]
	for end := time.Now().Add(killPatience); r.executes.running(address) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s had no request when it was killed", r.cluster.VM(vm))
		}
	}
	r.cluster.Kill(vm)
	return nil
}

func versionChangeDuringDrain(r *pairRun) error {
	draining := serversIn(r.cluster, zones[0])
	for _, s := range draining {
		s.SetDraining(true)
	}
	if err := replaceVersion(r.cluster, r.plan, 2, pairStep); err != nil {
		return err
	}
	for _, s := range draining {
		s.SetDraining(false)
	}
	return checkReplaced(r.searches)
}

func coldStartDuringOverload(r *pairRun) error {
	var extra sync.WaitGroup
	extra.Add(1)
	more := recorder.New()
	go func() {
		defer extra.Done()
		r.callers.load(more, combinedSearches*overloadFactor, 6*pairStep, "extra")
	}()
	time.Sleep(pairStep)
	if err := r.restartZone(zones[1]); err != nil {
		return err
	}
	extra.Wait()
	if refused := more.Count(func(s recorder.Sample) bool { return stated(s.Err) }); refused == 0 {
		return fmt.Errorf("none of %d more searches was refused, so the system was not overloaded", more.Total())
	}
	return nil
}
