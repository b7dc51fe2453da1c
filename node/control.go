package node

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controller"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/registrar"
)

// buildControlComponents builds the components of the control role.
func (n *Node) buildControlComponents() error {
	ticketChecker, err := checker.New()
	if err != nil {
		return err
	}
	stateMachine := registrar.New()
	controlVMs := make([]zinniatide.VMID, len(n.cfg.ControlVMs))
	for i, vm := range n.cfg.ControlVMs {
		controlVMs[i] = vm.VM
	}
	n.replicatedLog, err = logkeeper.New(logkeeper.Config{
		VM: n.cfg.VM, Folder: n.cfg.DataFolder, ControlVMs: controlVMs, Linker: n.linker, Clock: n.clock,
		StateMachine: stateMachine, Rand: newRand(), Registerer: n.registerer,
	})
	if err != nil {
		return zinniatide.WrapStep(err, "open data folder", n.cfg.DataFolder)
	}
	n.controller = controller.New(controller.Config{VM: n.cfg.VM, ControlVMs: n.cfg.ControlVMs},
		n.replicatedLog, n.linker, n.clock, stateMachine, ticketChecker, n.registerer)
	return nil
}
