// Package lister is a stand-in for the platform's list of VMs and for its
// weight store.
package lister

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"yuccaspread/common/platform"
)

// Lister holds the list. Its exported fields are set before Register.
type Lister struct {
	// Weights is the status that the weight store answers.
	Weights platform.WeightStatus

	mu  sync.Mutex
	vms []platform.VM
}

// Set replaces the list.
func (l *Lister) Set(vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// Register adds the handlers to router. PUT /vms replaces the list.
func (l *Lister) Register(router *mux.Router) {
	router.HandleFunc("/vms", l.serveList).Methods(http.MethodGet)
	router.HandleFunc("/vms", l.servePut).Methods(http.MethodPut)
	router.HandleFunc("/weights", l.serveWeights).Methods(http.MethodGet)
}

func (l *Lister) serveList(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := l.vms
	if vms == nil {
		vms = []platform.VM{}
	}
	_ = json.NewEncoder(w).Encode(vms)
}

func (l *Lister) servePut(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(vms)
}

func (l *Lister) serveWeights(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(l.Weights)
}
