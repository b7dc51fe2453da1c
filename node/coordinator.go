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

// buildCoordinatorComponents builds the components with which this VM
// coordinates the requests of its callers.
func (n *Node) buildCoordinatorComponents() error {
	observations, timers := observer.New(), timer.New()
	queryPlanner := planner.New(n.subscriber, n.cataloger, observations, n.cfg.Zone, n.clock, planner.DefaultRebuildInterval)
	admission := admitter.New(admitter.DefaultConfig(), admitter.Dependencies{
		Clock: n.clock, Timer: timers, Planner: queryPlanner, Registerer: n.registerer,
	})
	quarantine := quarantiner.New(quarantiner.DefaultConfig(), quarantiner.Dependencies{
		VM: n.cfg.VM, Clock: n.clock, Timer: timers, Linker: n.linker, Registerer: n.registerer,
		ServingVMs: func() []zinniatide.VMID { return queryPlanner.Index().ServingVMs },
	})
	if n.cfg.DisableAdmission {
		admission = nil
	}
	if n.cfg.DisableQuarantine {
		quarantine = nil
	}
	searchHandler := querier.New(n.cfg.Query, querier.Dependencies{
		Clock: n.clock, Timer: timers, Configurations: n.subscriber, Forwarder: n.forwarder, Planner: queryPlanner,
		Observer: observations, Admitter: admission, Quarantiner: quarantine, Registerer: n.registerer, Random: newRand(),
	})
	executeHandler := executor.New(executor.DefaultConfig(), executor.Dependencies{
		VM: n.cfg.VM, Clock: n.clock, Timer: timers, Configurations: n.subscriber, Claims: n.subscriber,
		Forwarder: n.forwarder, Planner: queryPlanner, Observer: observations, Admitter: admission,
		Quarantiner: quarantine, Registerer: n.registerer, Random: newRand(),
	})
	var err error
	n.gateway, err = gateway.New(gateway.Config{VM: n.cfg.VM, Zone: n.cfg.Zone}, gateway.Dependencies{
		Clock: n.clock, Configuration: n.subscriber, Catalog: n.cataloger, Querier: searchHandler, Executor: executeHandler,
		Announcer: n.cataloger, Connected: n.linker.Connected, Operator: n.Operator(), Registerer: n.registerer,
	})
	return err
}
