// Package observer records what this VM observes of backend servers and
// services: latencies, requests in flight and reported load.
//
// The owner of a backend server is the VM that owns the server's bucket. Only the
// owner sends requests to the server; other VMs send theirs to the owner.
package observer

import (
	"sync"

	"zinniatide.example/zinniatide"
)

// Observer holds the records of all backend servers and services. It is safe for
// concurrent use.
type Observer struct {
	mu       sync.RWMutex
	servers  map[zinniatide.BackendServerID]*Server
	services map[zinniatide.ServiceID]*Service
}

// New returns an observer without records.
func New() *Observer {
	return &Observer{
		servers:  make(map[zinniatide.BackendServerID]*Server),
		services: make(map[zinniatide.ServiceID]*Service),
	}
}

// Server returns the record of a backend server and creates it if it doesn't
// exist. The planner's index keeps the pointer, so that planning needs no lookup.
func (o *Observer) Server(id zinniatide.BackendServerID) *Server {
	o.mu.RLock()
	s := o.servers[id]
	o.mu.RUnlock()
	if s != nil {
		return s
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s = o.servers[id]; s == nil {
		s = &Server{}
		o.servers[id] = s
	}
	return s
}

// Service returns the record of a service and creates it if it doesn't exist.
func (o *Observer) Service(id zinniatide.ServiceID) *Service {
	o.mu.RLock()
	s := o.services[id]
	o.mu.RUnlock()
	if s != nil {
		return s
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s = o.services[id]; s == nil {
		s = newService()
		o.services[id] = s
	}
	return s
}

// Len returns the number of records of backend servers.
func (o *Observer) Len() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.servers)
}

// RetainServers removes the records of all backend servers that are not in
// keep, which bounds the memory by the size of the catalog.
func (o *Observer) RetainServers(keep map[zinniatide.BackendServerID]struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.servers {
		if _, ok := keep[id]; !ok {
			delete(o.servers, id)
		}
	}
}
