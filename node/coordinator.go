package node

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/executor"
	"zinniatide.example/zinniatide/gateway"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/querier"
)

// planInterval bounds how often the planner rebuilds its index while the
// catalogue changes all the time, as it does when a zone returns.
const planInterval zinniatide.Millis = 20

// assembleCoordinator builds the parts that serve callers.
func (n *Node) assembleCoordinator() error {
	table, timers := observer.New(), timer.New()
	plans := planner.New(n.subscriber, n.cataloger, table, n.cfg.Zone, n.clock, planInterval)
	searches := querier.New(n.cfg.Query, querier.Dependencies{
		Clock: n.clock, Timer: timers, Configurations: n.subscriber, Forwarder: n.forwarder, Planner: plans,
		Observer: table, Registerer: n.registerer, Random: newRandom(),
	})
	executes := executor.New(executor.DefaultConfig(), executor.Dependencies{
		VM: n.cfg.VM, Clock: n.clock, Timer: timers, Configurations: n.subscriber, Claims: n.subscriber,
		Forwarder: n.forwarder, Planner: plans, Observer: table, Registerer: n.registerer, Random: newRandom(),
	})
	var err error
	n.gateway, err = gateway.New(gateway.Config{VM: n.cfg.VM, Zone: n.cfg.Zone}, gateway.Dependencies{
		Clock: n.clock, Configuration: n.subscriber, Catalog: n.cataloger, Querier: searches, Executor: executes,
		Announcer: n.cataloger, Operator: n.Operator(), Registerer: n.registerer,
	})
	return err
}
