package scenarios

import (
	"errors"
	"fmt"
	"time"

	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
	"zinniatide.example/zinniatide/loader"
)

func controlConfig() systemConfig {
	return systemConfig{
		shards: 4, serversPerZone: 4, searchersPerServer: 1, slots: 2, serviceTime: 2, minServiceTime: 1,
		assumedColdStart: unlimitedRamp, entryVMs: 6, linkDelay: zoneLinkDelay,
	}
}

const (
	// partitionDuration is more than two leases, so that the VM stops serving and a
	// successor leads.
	partitionDuration = 9 * time.Second
	// afterHealDuration is the time from the end of the partition to the end of the
	// filing.
	afterHealDuration = 6 * time.Second
	// probePause is the time between searches sent to the partitioned VM.
	probePause   = 10 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// controlPartition partitions a control VM that is also an entry VM, first the
// leader and then a follower, while operators file tickets. Its links drop all
// data, but stay open.
var controlPartition = Scenario{Name: "control-partition", Run: func(e *Env) error {
	c, err := e.startCluster(controlConfig())
	if err != nil {
		return err
	}
	defer c.Close()
	o, monitor := &operators{cluster: c}, monitorEpochs(c)
	lastWork := 0.0
	for _, follower := range []bool{false, true} {
		victim := c.Leader()
		if victim < 0 {
			return errors.New("no control VM is the leader before the partition")
		}
		if follower {
			victim = (victim + 1) % c.Options.ControlVMs
		}
		last, err := partitionVM(e, c, o, victim)
		if err != nil {
			return err
		}
		lastWork = max(lastWork, last)
	}
	lost, reverted := o.countLost(), monitor.stopAndCount()
	return e.reportMetrics("control-partition", []metric{
		{"last-new-work", "ms", noValue, lastWork},
		{"lost", "count", noValue, float64(lost)},
		{"reverted", "count", noValue, float64(reverted)},
	})
}}

// partitionVM partitions a control VM, heals the partition, and returns when the
// VM did its last work, in ms after the start of the partition. Meanwhile, tickets
// are filed through the other control VMs, and one of them conflicts with a ticket
// of the same number that is filed through the partitioned VM.
func partitionVM(e *Env, c *cluster.Cluster, o *operators, victim int) (float64, error) {
	var others []int
	for i := range c.Options.ControlVMs {
		if i != victim {
			others = append(others, i)
		}
	}
	if err := o.file("before", append(others, victim)...); err != nil {
		return 0, err
	}
	stop, filing := make(chan struct{}), make(chan error, 1)
	c.Network.Partition(c.VMID(victim))
	partitionedAt := time.Now()
	go func() { filing <- o.fileUntil(stop, "during", others) }()
	probed := make(chan probeResult, 1)
	go func() { probed <- probePartitioned(e, c, victim, partitionedAt) }()
	before := len(o.acceptedTickets())
	loser, raceErr := raceTickets(o, victim, others)
	p := <-probed
	if during := len(o.acceptedTickets()) - before; during == 0 {
		return 0, errors.New("no ticket was accepted during the partition")
	}
	c.Network.Heal(c.VMID(victim))
	time.Sleep(afterHealDuration)
	close(stop)
	if err := errors.Join(<-filing, raceErr, p.err); err != nil {
		return 0, err
	}
	for range 10 {
		if err := o.file("after", victim); err != nil {
			return 0, fmt.Errorf("after the partition was healed: %w", err)
		}
	}
	return p.lastWorkMs, resendLoser(c, loser, victim)
}

// raceTickets files two tickets with the same number, one through the partitioned
// VM and one through the others, which must win. It returns the encoded loser.
func raceTickets(o *operators, victim int, others []int) (raw []byte, err error) {
	winner, rawWinner, err := o.nextTicket("winner")
	if err != nil {
		return nil, err
	}
	loser, rawLoser, err := encodeTicket(winner.number, "loser")
	if err != nil {
		return nil, err
	}
	won := make(chan error, 1)
	go func() { won <- o.fileWithRetry(winner, rawWinner, others) }()
	if err := o.submit(loser, rawLoser, victim); err == nil {
		return nil, fmt.Errorf("ticket %d was accepted by the partitioned VM", loser.number)
	}
	return rawLoser, <-won
}

const (
	resendLimit = 5 * time.Second
	resendPause = 100 * time.Millisecond
)

// errLoserNotRefused is returned if the losing ticket of a race is not refused
// because of the conflict.
var errLoserNotRefused = errors.New("not refused because of the conflict")

// resendLoser files the losing ticket of a race again, which must be refused. A
// VM that was partitioned may not know the new leader yet and then answers
// no-quorum, so the ticket is retried until it is decided.
func resendLoser(c *cluster.Cluster, raw []byte, victim int) error {
	var err error
	refusal := new(zinniatide.Refusal)
	for end := time.Now().Add(resendLimit); time.Now().Before(end); time.Sleep(resendPause) {
		_, err = c.Node(victim).Operator().FileTicket(raw, false, operatorTimeout)
		if !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeNoQuorum {
			break
		}
	}
	if !errors.As(err, &refusal) || refusal.Code != zinniatide.CodeTicketConflict {
		return fmt.Errorf("file the losing ticket again, want refusal %s: %w", zinniatide.CodeTicketConflict, errors.Join(errLoserNotRefused, err))
	}
	return nil
}

// fileUntil files tickets until stop is closed.
func (o *operators) fileUntil(stop chan struct{}, prefix string, through []int) error {
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(20 * time.Millisecond):
		}
		if err := o.file(prefix, through...); err != nil {
			return err
		}
	}
}

// probeResult is the result of probing a partitioned VM with searches.
type probeResult struct {
	lastWorkMs float64 // after the start of the partition
	err        error
}

// probePartitioned sends searches to the partitioned VM until the partition ends.
// It returns the time of the first not-serving refusal after which the VM answered
// no search with hits: the end of its lease as callers see it. It is an error if
// the VM still answers at the end of the partition.
func probePartitioned(e *Env, c *cluster.Cluster, victim int, partitionedAt time.Time) probeResult {
	caller := c.NewCaller(loader.Config{
		Service: serviceID, Workspace: "counter", Class: "interactive", Timeout: probeTimeout, RandomSeed: e.Seed + 20,
	})
	address := c.EntryAddresses()[victim]
	worked, refusals := 0, 0
	var last, refused time.Time
	for i := 0; time.Since(partitionedAt) < partitionDuration; i++ {
		id := fmt.Sprintf("cut-%d-%d", victim, i)
		answer, err := caller.SearchAt(address, zinniatide.RequestID(id), id)
		var refusal *loader.Refusal
		switch {
		case err == nil && answer.Total > 0:
			worked++
			last, refused = time.Now(), time.Time{}
		case errors.As(err, &refusal) && refusal.Outcome == zinniatide.OutcomeNotRun && refusal.Code == zinniatide.CodeNotServing:
			refusals++
			if refused.IsZero() {
				refused = time.Now()
			}
		}
		time.Sleep(probePause)
	}
	if worked == 0 || refusals == 0 {
		return probeResult{err: fmt.Errorf("the partitioned VM answered %d searches and refused %d as not serving, want both above 0", worked, refusals)}
	}
	if refused.Before(last) {
		return probeResult{err: fmt.Errorf("the VM still answered searches %s after the start of the partition", last.Sub(partitionedAt))}
	}
	return probeResult{lastWorkMs: ms(refused.Sub(partitionedAt))}
}
