package retirer_test

import (
	"context"
	"errors"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/retirer"
)

type fixedSource struct{ config *inventory.Config }

func (s fixedSource) Current() *inventory.Config { return s.config }

type fakeList struct {
	vms []platform.VM
	err error
}

func (l *fakeList) VMs(context.Context) ([]platform.VM, error) { return l.vms, l.err }

// TestLeavingUpstreamsStayMarkedUntilListedAsLive guards against new requests
// to an upstream that the platform removes: it has to stay marked when the list
// fails or no longer names it, until it is listed as live again. An unchanged
// list must not yield a new configuration, which all its readers would process.
func TestLeavingUpstreamsStayMarkedUntilListedAsLive(t *testing.T) {
	config := &inventory.Config{Revision: 3, Upstreams: []inventory.Upstream{
		{Name: "u1", Address: "10.0.0.1:80"},
		{Name: "u2", Address: "10.0.0.2:80"},
		{Name: "u3", Address: "10.0.0.3:80"},
		{Name: "u4", Address: "10.0.0.4:80", Leaving: true},
	}}
	vms := &fakeList{}
	r := &retirer.Retirer{Next: fixedSource{config}, List: vms}
	pollAndCheck := func(step string, leaving ...bool) {
		t.Helper()
		if err := r.Poll(t.Context()); (err != nil) != (vms.err != nil) {
			t.Fatal(err)
		}
		for i, u := range r.Current().Upstreams {
			if u.Leaving != leaving[i] {
				t.Errorf("%s: Leaving of upstream %s is %v", step, u.Name, u.Leaving)
			}
		}
		if before := r.Current(); r.Poll(t.Context()) == nil && before != r.Current() {
			t.Errorf("%s: an unchanged list changed the configuration", step)
		}
		if r.Current().Revision != 3 || config.Upstreams[0].Leaving {
			t.Errorf("%s: the source's configuration was changed", step)
		}
	}
	upstream := func(name, address string, leaving bool) platform.VM {
		return platform.VM{Name: name, Address: address, Role: retirer.RoleUpstream, Leaving: leaving}
	}
	pollAndCheck("empty list", false, false, false, true)
	vms.vms = []platform.VM{
		upstream("u1", "", true), upstream("vm-2", "10.0.0.2", true), upstream("vm-3", "10.0.0.3:80", false),
		{Name: "u3", Role: retirer.RoleDaemon, Leaving: true},
	}
	pollAndCheck("by name and by IP address", true, true, false, true)
	vms.err = errors.New("down")
	pollAndCheck("list unavailable", true, true, false, true)
	vms.err = nil
	vms.vms = nil
	pollAndCheck("gone from the list", true, true, false, true)
	vms.vms = []platform.VM{upstream("u1", "", false), upstream("vm-2", "10.0.0.2", false)}
	pollAndCheck("listed as live again", false, false, false, true)
}
