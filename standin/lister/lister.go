// Package lister is a stand-in for the platform's list of VMs and for its
// weight store.
package lister

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// maxVersions bounds the lists that are kept for a list that lags.
const maxVersions = 1000

// Lister holds the list. Its exported fields are set before Register.
type Lister struct {
	// Weights returns the status that the weight store answers; nil answers
	// the zero one.
	Weights func() platform.WeightStatus

	mu sync.Mutex
	// versions are the lists since the start, oldest first.
	versions []version
	// lag is how old the list is that is answered.
	lag clock.Millis
}

// version is a list and when it was set.
type version struct {
	at  time.Time
	vms []platform.VM
}

// Set replaces the list.
func (l *Lister) Set(vms []platform.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{time.Now(), vms})
	if len(l.versions) > maxVersions {
		l.versions = l.versions[1:]
	}
}

// Lag makes the answers older by lag.
func (l *Lister) Lag(lag clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// VMs returns the list as it was before the lag.
func (l *Lister) VMs() []platform.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-l.lag.Duration())
	for i := len(l.versions) - 1; i >= 0; i-- {
		if v := l.versions[i]; !v.at.After(limit) {
			return v.vms
		}
	}
	return []platform.VM{}
}

// Register adds the handlers to router. PUT /vms replaces the list.
func (l *Lister) Register(router *mux.Router) {
	router.HandleFunc("/vms", l.serveList).Methods(http.MethodGet)
	router.HandleFunc("/vms", l.servePut).Methods(http.MethodPut)
	router.HandleFunc("/weights", l.serveWeights).Methods(http.MethodGet)
}

func (l *Lister) serveList(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(l.VMs())
}

func (l *Lister) servePut(w http.ResponseWriter, r *http.Request) {
	vms := []platform.VM{}
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Set(vms)
}

func (l *Lister) serveWeights(w http.ResponseWriter, _ *http.Request) {
	var status platform.WeightStatus
	if l.Weights != nil {
		status = l.Weights()
	}
	_ = json.NewEncoder(w).Encode(status)
}
