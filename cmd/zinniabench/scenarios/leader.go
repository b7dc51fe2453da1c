package scenarios

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"zinniatide.example/zinniatide/cmd/zinniabench/cluster"
)

const (
	leaderLosses   = 3
	lossWarmUp     = 1500 * time.Millisecond
	lossAfter      = 4 * time.Second
	missedChanges  = 1000
	missingFilers  = 8
	catchUpTimeout = 20 * time.Second
)

// leaderLoss kills the control leader several times while operators file
// tickets through the other control VMs, and reports the longest time without
// an accepted ticket.
var leaderLoss = Scenario{Name: "leader-loss", Run: func(e *Env) error {
	c, err := e.start(controlPlan())
	if err != nil {
		return err
	}
	defer c.Close()
	longest := 0.0
	for range leaderLosses {
		gap, err := loseLeader(c)
		if err != nil {
			return err
		}
		longest = max(longest, gap)
	}
	return e.reportAll("leader-loss", []metric{{"no-accept", "ms", none, longest}})
}}

// loseLeader kills the leader and starts it again, and returns the time from
// the last ticket accepted before to the first one after, in ms.
func loseLeader(c *cluster.Cluster) (float64, error) {
	leader := c.Leader()
	if leader < 0 {
		return 0, errors.New("no control VM leads")
	}
	var others []int
	for i := range c.Options.Controls {
		if i != leader {
			others = append(others, i)
		}
	}
	o := &operators{cluster: c}
	stop, filing := make(chan struct{}), make(chan error, 1)
	go func() { filing <- o.fileUntil(stop, "loss", others) }()
	time.Sleep(lossWarmUp)
	if c.Leader() != leader {
		return 0, errors.New("the leader changed before it was killed")
	}
	killed := time.Now()
	c.Kill(leader)
	time.Sleep(lossAfter)
	successor := c.Leader()
	close(stop)
	if err := <-filing; err != nil {
		return 0, err
	}
	gap, err := gapAround(o.all(), killed)
	if err != nil {
		return 0, err
	}
	if successor < 0 || successor == leader {
		return 0, fmt.Errorf("control VM %d leads after the loss of %d", successor, leader)
	}
	if lost := o.lost(); lost > 0 {
		return 0, fmt.Errorf("%d accepted tickets were lost", lost)
	}
	if err := c.Start(leader); err != nil {
		return 0, err
	}
	return gap, c.Wait(func() bool { return caughtUp(c, leader, c.Node(successor).LogStatus().Commit) })
}

// gapAround returns the time between the acceptances before and after event.
func gapAround(tickets []filed, event time.Time) (float64, error) {
	var before, after time.Time
	for _, f := range tickets {
		switch {
		case !f.at.After(event):
			before = f.at
		case after.IsZero():
			after = f.at
		}
	}
	if before.IsZero() || after.IsZero() {
		return 0, fmt.Errorf("of %d tickets none was accepted before or none after the leader was killed", len(tickets))
	}
	return ms(after.Sub(before)), nil
}

// catchUp stops a control VM, files changes that it misses, and measures the
// time from its start until its log holds and has applied all of them.
var catchUp = Scenario{Name: "catch-up", Run: func(e *Env) error {
	c, err := e.start(controlPlan())
	if err != nil {
		return err
	}
	defer c.Close()
	leader := c.Leader()
	if leader < 0 {
		return errors.New("no control VM leads")
	}
	stopped := (leader + 1) % c.Options.Controls
	before := c.Node(stopped).LogStatus().Applied
	c.Kill(stopped)
	o := &operators{cluster: c}
	if err := fileMany(o, missedChanges, leader, (leader+2)%c.Options.Controls); err != nil {
		return err
	}
	commit := c.Node(leader).LogStatus().Commit
	if accepted := len(o.all()); accepted != missedChanges || commit < before+missedChanges {
		return fmt.Errorf("%d changes were accepted; the log grew from %d to %d", accepted, before, commit)
	}
	start := time.Now()
	if err := c.Start(stopped); err != nil {
		return err
	}
	if applied := c.Node(stopped).LogStatus().Applied; applied >= commit {
		return fmt.Errorf("the stopped VM had already applied entry %d of %d", applied, commit)
	}
	for !caughtUp(c, stopped, commit) || c.Node(stopped).Configuration().Epoch < o.newest() {
		if time.Since(start) > catchUpTimeout {
			return fmt.Errorf("the VM applied %d of %d entries within %s", c.Node(stopped).LogStatus().Applied, commit, catchUpTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	took := ms(time.Since(start))
	if lost := o.lost(); lost > 0 {
		return fmt.Errorf("%d accepted tickets were lost", lost)
	}
	return e.reportAll("catch-up", []metric{{"catch-up", "ms", none, took}})
}}

func caughtUp(c *cluster.Cluster, vm int, commit uint64) bool {
	return c.Node(vm).LogStatus().Applied >= commit
}

// fileMany files n tickets, several at a time.
func fileMany(o *operators, n int, through ...int) error {
	var filers sync.WaitGroup
	var mu sync.Mutex
	var failure error
	next := make(chan struct{}, n)
	for range n {
		next <- struct{}{}
	}
	close(next)
	for range missingFilers {
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
