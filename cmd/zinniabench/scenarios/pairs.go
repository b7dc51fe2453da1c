package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/recorder"
)

// faultPairs lists the combinations of faults.
var faultPairs = []faultPair{
	{"zone-out-during-version-change", zoneOutDuringVersionChange},
	{"owner-loss-during-cold-start", ownerLossDuringColdStart},
	{"leader-loss-during-hand-over", leaderLossDuringHandOver},
	{"partition-during-ticket-race", partitionDuringTicketRace},
	{"silent-connections-during-zone-return", silentConnectionsDuringZoneReturn},
	{"entry-loss-during-query-of-death", entryLossDuringQueryOfDeath},
	{"version-change-during-drain", versionChangeDuringDrain},
	{"cold-start-during-overload", coldStartDuringOverload},
}

const (
	faultPairPause = 500 * time.Millisecond
	// overloadFactor times the normal rate of searches exceeds the capacity of
	// the slots in combinedConfig.
	overloadFactor   = 30
	handOverSlowdown = 30
	// killTimeout limits the wait for a request on the VM to be killed. A VM gets
	// 4 requests per second on average.
	killTimeout = 3 * time.Second
)

func zoneOutDuringVersionChange(r *pairRun) error {
	work := func() int64 { return r.cluster.Backends.Totals().WorkByZone[zones[2]] }
	if work() == 0 {
		return errors.New("the zone got no requests")
	}
	if _, err := r.cluster.FileTicket(&zinniatide.Ticket{AvailabilityZones: zoneStates(zones[2], zinniatide.StateOut)}); err != nil {
		return err
	}
	if err := replaceVersion(r.cluster, r.config, 1, faultPairPause); err != nil {
		return err
	}
	return checkBothVersions(r.searches)
}

// checkBothVersions returns an error unless both versions were searched.
func checkBothVersions(r *recorder.Recorder) error {
	for _, version := range []zinniatide.IndexVersion{1, 2} {
		if r.Count(func(s recorder.Sample) bool { return s.Err == nil && s.Version == version }) == 0 {
			return fmt.Errorf("no search was answered from index version %d", version)
		}
	}
	return nil
}

func ownerLossDuringColdStart(r *pairRun) error {
	owner := r.lastEntryVM(zones[0])
	if err := r.restartZone(zones[0]); err != nil {
		return err
	}
	if owned, _ := r.countBuckets(owner, 1); owned == 0 {
		return errors.New("the VM owned no buckets")
	}
	r.cluster.KillVM(owner)
	return nil
}

func leaderLossDuringHandOver(r *pairRun) error {
	leader, leaving := r.cluster.Leader(), r.lastEntryVM(zones[1])
	if leader < 0 {
		return errors.New("no control VM is the leader")
	}
	for _, s := range serversIn(r.cluster, zones[1]) {
		s.SetSlowdown(handOverSlowdown) // the hand-over waits for running requests
	}
	time.Sleep(faultPairPause)
	raw, err := r.cluster.NextTicket(&zinniatide.Ticket{VMs: map[zinniatide.VMID]*zinniatide.StateSetting{
		r.cluster.VMID(leaving): {State: zinniatide.StateLeaving},
	}})
	if err != nil {
		return err
	}
	if _, err := r.cluster.Node(leader).Operator().FileTicket(raw, false, 2000); err != nil {
		return err
	}
	for end := time.Now().Add(faultPairPause); ; time.Sleep(time.Millisecond) {
		if _, moving := r.countBuckets(leaving, leaving); moving > 0 {
			break
		}
		if time.Now().After(end) {
			return errors.New("no bucket was being handed over")
		}
	}
	r.cluster.KillVM(leader)
	for _, s := range serversIn(r.cluster, zones[1]) {
		s.SetSlowdown(1)
	}
	return r.cluster.WaitUntil(func() bool {
		owned, _ := r.countBuckets(leaving, leaving)
		return owned == 0
	})
}

func partitionDuringTicketRace(r *pairRun) error {
	victim := r.cluster.Leader()
	if victim < 0 {
		return errors.New("no control VM is the leader")
	}
	controls := r.cluster.Options.ControlVMs
	others := []int{(victim + 1) % controls, (victim + 2) % controls}
	monitor := monitorEpochs(r.cluster)
	r.cluster.Network.Partition(r.cluster.VMID(victim))
	loser, err := raceTickets(r.operators, victim, others)
	if err != nil {
		return err
	}
	time.Sleep(faultPairPause)
	r.cluster.Network.Heal(r.cluster.VMID(victim))
	if err := r.cluster.WaitUntil(func() bool { return allInstalled(r.cluster, r.operators.newestEpoch()) }); err != nil {
		return err
	}
	if err := resendLoser(r.cluster, loser, victim); err != nil {
		return err
	}
	if lost, reverted := r.operators.countLost(), monitor.stopAndCount(); lost+reverted > 0 {
		return fmt.Errorf("%d accepted tickets were lost, and epochs decreased %d times", lost, reverted)
	}
	return nil
}

func silentConnectionsDuringZoneReturn(r *pairRun) error {
	if _, err := r.cluster.FileTicket(&zinniatide.Ticket{AvailabilityZones: zoneStates(zones[2], zinniatide.StateOut)}); err != nil {
		return err
	}
	time.Sleep(2 * faultPairPause)
	before := r.cluster.Backends.Totals().WorkByZone[zones[2]]
	if _, err := r.cluster.FileTicket(&zinniatide.Ticket{AvailabilityZones: zoneStates(zones[2], zinniatide.StateIn)}); err != nil {
		return err
	}
	silenced := 0
	for _, s := range serversIn(r.cluster, zones[0]) {
		silenced += s.FreezeConnections()
	}
	time.Sleep(faultPairPause)
	for _, s := range serversIn(r.cluster, zones[2]) {
		silenced += s.FreezeConnections()
	}
	time.Sleep(2 * faultPairPause)
	if after := r.cluster.Backends.Totals().WorkByZone[zones[2]]; silenced == 0 || after == before {
		return fmt.Errorf("%d connections were silenced, and the zone got %d requests after its return, want both above 0", silenced, after-before)
	}
	return nil
}

func entryLossDuringQueryOfDeath(r *pairRun) error {
	for _, s := range r.cluster.Backends.Emulators {
		s.CrashOnBody(crashText)
	}
	monitor, stop := monitorCrashes(r.cluster), make(chan struct{})
	d, sent := newCrashingCaller(r.env, r.cluster), make(chan struct{})
	go func() {
		defer close(sent)
		d.sendUntil(stop)
	}()
	var killErr error
	for _, vm := range []int{r.lastEntryVM(zones[0]), r.lastEntryVM(zones[1])} {
		killErr = errors.Join(killErr, r.killDuringExecute(vm))
		time.Sleep(faultPairPause)
	}
	if killErr == nil {
		killErr = errors.Join(r.cluster.StartVM(r.lastEntryVM(zones[0])), r.cluster.StartVM(r.lastEntryVM(zones[1])))
		time.Sleep(2 * faultPairPause)
	}
	close(stop)
	<-sent
	crashes, err := monitor.stopAndCount()
	return errors.Join(killErr, err, d.check(crashes, false))
}

// killDuringExecute kills an entry VM while a non-idempotent request is in flight
// on it.
func (r *pairRun) killDuringExecute(vm int) error {
	address := r.cluster.EntryAddresses()[vm]
	for end := time.Now().Add(killTimeout); r.executes.inFlightAt(address) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s got no request within %s", r.cluster.VMID(vm), killTimeout)
		}
	}
	r.cluster.KillVM(vm)
	return nil
}

func versionChangeDuringDrain(r *pairRun) error {
	draining := serversIn(r.cluster, zones[0])
	for _, s := range draining {
		s.SetDraining(true)
	}
	if err := replaceVersion(r.cluster, r.config, 2, faultPairPause); err != nil {
		return err
	}
	for _, s := range draining {
		s.SetDraining(false)
	}
	return checkBothVersions(r.searches)
}

func coldStartDuringOverload(r *pairRun) error {
	var extra sync.WaitGroup
	extra.Add(1)
	more := recorder.New()
	go func() {
		defer extra.Done()
		r.callers.sendSearches(more, combinedSearchRate*overloadFactor, 6*faultPairPause, "extra")
	}()
	time.Sleep(faultPairPause)
	if err := r.restartZone(zones[1]); err != nil {
		return err
	}
	extra.Wait()
	if refused := more.Count(func(s recorder.Sample) bool { return isRefusal(s.Err) }); refused == 0 {
		return fmt.Errorf("none of %d additional searches was refused; the system was not overloaded", more.Total())
	}
	return nil
}
