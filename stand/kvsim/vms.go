package kvsim

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"snipewall/core"
)

// SetVM adds the VM to the list or replaces it. Reads return the change after the list's lag.
func (s *Server) SetVM(vm core.VM) {
	s.editVMs(vm.ID, &vm)
}

// RemoveVM removes the VM from the list. Reads return the change after the list's lag.
func (s *Server) RemoveVM(id core.VMID) {
	s.editVMs(id, nil)
}

func (s *Server) editVMs(id core.VMID, vm *core.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(s.vms.last()), func(v core.VM) bool { return v.ID == id })
	if vm != nil {
		list = append(list, *vm)
	}
	s.vms.add(time.Now(), sortedVMs(list))
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	lag := max(s.faults.listLag(), s.cfg.ListLag) + s.faults.staleness()
	s.mu.Lock()
	list := s.vms.asOf(time.Now().Add(-lag))
	s.mu.Unlock()
	if list == nil {
		list = []core.VM{}
	}
	writeJSON(w, list)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	id := core.VMID(r.PathValue("id"))
	if leaving := r.URL.Query().Get("leaving"); leaving != "" {
		s.setLeaving(w, id, leaving)
		return
	}
	var vm core.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = id
	s.SetVM(vm)
}

func (s *Server) setLeaving(w http.ResponseWriter, id core.VMID, value string) {
	leaving, err := strconv.ParseBool(value)
	if err != nil {
		http.Error(w, "leaving: want true or false", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	list := s.vms.last()
	s.mu.Unlock()
	for _, vm := range list {
		if vm.ID == id {
			vm.Leaving = leaving
			s.SetVM(vm)
			return
		}
	}
	http.Error(w, "no such VM", http.StatusNotFound)
}

func (s *Server) deleteVM(_ http.ResponseWriter, r *http.Request) {
	s.RemoveVM(core.VMID(r.PathValue("id")))
}

func sortedVMs(list []core.VM) []core.VM {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b core.VM) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
