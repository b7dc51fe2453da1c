package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
)

const (
	leaderLosses       = 3
	leaderKillDelay    = 1500 * time.Millisecond
	leaderLossDuration = 4 * time.Second
	missedChanges      = 1000
	catchUpFilers      = 8
	catchUpTimeout     = 20 * time.Second
)

// leaderLoss repeatedly kills the control leader while operators file tickets
// through the other control VMs. It reports the longest time without an accepted
// ticket.
var leaderLoss = Scenario{Name: "leader-loss", Run: func(e *Env) error {
	c, err := e.startCluster(controlConfig())
	if err != nil {
		return err
	}
	defer c.Close()
	longest := 0.0
	for range leaderLosses {
		gap, err := killLeader(c)
		if err != nil {
			return err
		}
		longest = max(longest, gap)
	}
	return e.reportMetrics("leader-loss", []metric{{"no-accept", "ms", noValue, longest}})
}}

// killLeader kills and restarts the leader. It returns the time in ms from the
// last ticket accepted before the kill to the first one accepted after it.
func killLeader(c *cluster.Cluster) (float64, error) {
	leader := c.Leader()
	if leader < 0 {
		return 0, errors.New("no control VM is the leader")
	}
	var others []int
	for i := range c.Options.ControlVMs {
		if i != leader {
			others = append(others, i)
		}
	}
	o := &operators{cluster: c}
	stop, filing := make(chan struct{}), make(chan error, 1)
	go func() { filing <- o.fileUntil(stop, "loss", others) }()
	time.Sleep(leaderKillDelay)
	if c.Leader() != leader {
		return 0, errors.New("the leader changed before it was killed")
	}
	killed := time.Now()
	c.KillVM(leader)
	time.Sleep(leaderLossDuration)
	successor := c.Leader()
	close(stop)
	if err := <-filing; err != nil {
		return 0, err
	}
	gap, err := acceptanceGapMs(o.acceptedTickets(), killed)
	if err != nil {
		return 0, err
	}
	if successor < 0 || successor == leader {
		return 0, fmt.Errorf("control VM %d is the leader after the loss of %d", successor, leader)
	}
	if lost := o.countLost(); lost > 0 {
		return 0, fmt.Errorf("%d accepted tickets were lost", lost)
	}
	if err := c.StartVM(leader); err != nil {
		return 0, err
	}
	return gap, c.WaitUntil(func() bool { return hasApplied(c, leader, c.Node(successor).LogStatus().Commit) })
}

// acceptanceGapMs returns the time in ms between the last acceptance before event
// and the first one after it.
func acceptanceGapMs(tickets []filedTicket, event time.Time) (float64, error) {
	var before, after time.Time
	for _, f := range tickets {
		switch {
		case !f.acceptedAt.After(event):
			before = f.acceptedAt
		case after.IsZero():
			after = f.acceptedAt
		}
	}
	if before.IsZero() || after.IsZero() {
		return 0, fmt.Errorf("of %d accepted tickets, none was accepted before or none after the leader was killed", len(tickets))
	}
	return ms(after.Sub(before)), nil
}

// catchUp kills a control VM, files tickets while it is down, and measures the time
// from its restart until it has applied all missed log entries.
var catchUp = Scenario{Name: "catch-up", Run: func(e *Env) error {
	c, err := e.startCluster(controlConfig())
	if err != nil {
		return err
	}
	defer c.Close()
	leader := c.Leader()
	if leader < 0 {
		return errors.New("no control VM is the leader")
	}
	stopped := (leader + 1) % c.Options.ControlVMs
	before := c.Node(stopped).LogStatus().Applied
	c.KillVM(stopped)
	o := &operators{cluster: c}
	if err := fileTickets(o, missedChanges, leader, (leader+2)%c.Options.ControlVMs); err != nil {
		return err
	}
	commit := c.Node(leader).LogStatus().Commit
	if accepted := len(o.acceptedTickets()); accepted != missedChanges || commit < before+missedChanges {
		return fmt.Errorf("%d tickets were accepted, and the log grew from entry %d to %d", accepted, before, commit)
	}
	start := time.Now()
	if err := c.StartVM(stopped); err != nil {
		return err
	}
	if applied := c.Node(stopped).LogStatus().Applied; applied >= commit {
		return fmt.Errorf("the restarted VM had already applied entry %d of %d", applied, commit)
	}
	for !hasApplied(c, stopped, commit) || c.Node(stopped).Configuration().Epoch < o.newestEpoch() {
		if time.Since(start) > catchUpTimeout {
			return fmt.Errorf("the restarted VM applied only %d of %d entries within %s", c.Node(stopped).LogStatus().Applied, commit, catchUpTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	took := ms(time.Since(start))
	if lost := o.countLost(); lost > 0 {
		return fmt.Errorf("%d accepted tickets were lost", lost)
	}
	return e.reportMetrics("catch-up", []metric{{"catch-up", "ms", noValue, took}})
}}

func hasApplied(c *cluster.Cluster, vm int, commit uint64) bool {
	return c.Node(vm).LogStatus().Applied >= commit
}

// fileTickets files n tickets through the given control VMs, catchUpFilers at a
// time.
func fileTickets(o *operators, n int, through ...int) error {
	var filers sync.WaitGroup
	var mu sync.Mutex
	var failure error
	next := make(chan struct{}, n)
	for range n {
		next <- struct{}{}
	}
	close(next)
	for range catchUpFilers {
		filers.Add(1)
		go func() {
			defer filers.Done()
			for range next {
				if err := o.file("missed", through...); err != nil {
					mu.Lock()
					failure = errors.Join(failure, err)
					mu.Unlock()
					return
				}
			}
		}()
	}
	filers.Wait()
	return failure
}
