package node

import (
	"zinniatide.example/zinniatide"
	"zinniatide.example/zinniatide/checker"
	"zinniatide.example/zinniatide/controller"
	"zinniatide.example/zinniatide/logkeeper"
	"zinniatide.example/zinniatide/registrar"
)

// assembleControl builds the parts of the control role.
func (n *Node) assembleControl() error {
	tickets, err := checker.New()
	if err != nil {
		return err
	}
	machine := registrar.New()
	control := make([]zinniatide.VMID, len(n.cfg.ControlVMs))
	for i, vm := range n.cfg.ControlVMs {
		control[i] = vm.VM
	}
	n.keeper, err = logkeeper.New(logkeeper.Config{
		VM: n.cfg.VM, Folder: n.cfg.DataFolder, ControlVMs: control, Linker: n.linker, Clock: n.clock,
		Machine: machine, Rand: newRandom(), Registerer: n.registerer,
	})
	if err != nil {
		return zinniatide.WrapStep(err, "open data folder", n.cfg.DataFolder)
	}
	n.controller = controller.New(controller.Config{VM: n.cfg.VM, ControlVMs: n.cfg.ControlVMs},
		n.keeper, n.linker, n.clock, machine, tickets, n.registerer)
	return nil
}
