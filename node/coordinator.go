package node

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/admitter"
	"zinniatide.example/zinniatide/common/timer"
	"zinniatide.example/zinniatide/executor"
	"zinniatide.example/zinniatide/gateway"
	"zinniatide.example/zinniatide/observer"
	"zinniatide.example/zinniatide/planner"
	"zinniatide.example/zinniatide/quarantiner"
	"zinniatide.example/zinniatide/querier"
)

// assembleCoordinator builds the parts that serve callers.
func (n *Node) assembleCoordinator() error {
	table, timers := observer.New(), timer.New()
	plans := planner.New(n.subscriber, n.cataloger, table, n.cfg.Zone, n.clock, planner.DefaultRebuildInterval)
	admission := admitter.New(admitter.DefaultConfig(), admitter.Dependencies{
		Clock: n.clock, Timer: timers, Planner: plans, Registerer: n.registerer,
	})
	quarantine := quarantiner.New(quarantiner.DefaultConfig(), quarantiner.Dependencies{
		VM: n.cfg.VM, Clock: n.clock, Timer: timers, Linker: n.linker, Registerer: n.registerer,
		ServingVMs: func() []zinniatide.VMID { return plans.Index().ServingVMs },
	})
	if n.cfg.WithoutAdmission {
		admission = nil
	}
	if n.cfg.WithoutQuarantine {
		quarantine = nil
	}
	searches := querier.New(n.cfg.Query, querier.Dependencies{
		Clock: n.clock, Timer: timers, Configurations: n.subscriber, Forwarder: n.forwarder, Planner: plans,
		Observer: table, Admitter: admission, Quarantiner: quarantine, Registerer: n.registerer, Random: newRandom(),
	})
	executes := executor.New(executor.DefaultConfig(), executor.Dependencies{
		VM: n.cfg.VM, Clock: n.clock, Timer: timers, Configurations: n.subscriber, Claims: n.subscriber,
		Forwarder: n.forwarder, Planner: plans, Observer: table, Admitter: admission,
		Quarantiner: quarantine, Registerer: n.registerer, Random: newRandom(),
	})
	var err error
	n.gateway, err = gateway.New(gateway.Config{VM: n.cfg.VM, Zone: n.cfg.Zone}, gateway.Dependencies{
		Clock: n.clock, Configuration: n.subscriber, Catalog: n.cataloger, Querier: searches, Executor: executes,
		Announcer: n.cataloger, Connected: n.linker.Connected, Operator: n.Operator(), Registerer: n.registerer,
	})
	return err
}
