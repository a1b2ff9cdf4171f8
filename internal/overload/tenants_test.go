package overload

import (
	"testing"

	"hollymast/control"
)

// While one tenant retries, the requests of the others are admitted.
func TestRetriesOfOneTenant(t *testing.T) {
	c, now := newCalmController(t)
	admitted, requests := 0, 0
	for step := range control.Micros(5000) {
		at := now + step*ms
		c.Admit(at, Request{Tenant: 1, IsRetry: true})
		if step%10 == 0 {
			requests++
			if c.Admit(at, Request{Tenant: 0}).Admitted {
				admitted++
			}
			c.RecordAnswer(at)
		}
	}
	if c.Kind() != TenantStorm || admitted < requests*97/100 {
		t.Errorf("%s, %d of %d requests of the other tenant admitted", c.Kind(), admitted, requests)
	}
}

// secondTenantLoad is the load of the second tenant; the first one sends a hundred requests per second.
type secondTenantLoad int

const (
	idle     secondTenantLoad = iota
	served                    // 500 requests a second, all of them answered
	rejected                  // as many, half of them rejected
)

// simulateTenants generates the traffic of two tenants, and returns how many requests of each were admitted.
func simulateTenants(c *Controller, now, duration control.Micros, second secondTenantLoad) (end control.Micros, admitted [2]int) {
	for step := range duration / ms {
		at := now + step*ms
		if second != idle && step%2 == 0 && c.Admit(at, Request{Tenant: 1}).Admitted {
			if admitted[1]++; second == rejected && step%4 == 0 {
				c.RecordRejection(at, 2000*ms, 0)
			} else {
				c.RecordAnswer(at)
			}
		}
		if step%10 == 0 && c.Admit(at, Request{Tenant: 0}).Admitted {
			admitted[0]++
			c.RecordAnswer(at)
		}
	}
	return now + duration, admitted
}

// A tenant that sends far more than its quota while capacity is short is limited to its quota, even if all its requests
// look like first attempts; the other tenants are not affected, and the limit ends once the tenant is within its quota.
// Without a shortage quotas do not apply.
func TestTenantOverQuota(t *testing.T) {
	c, now := newCalmController(t)
	c.quotas = []float64{200, 20}
	now, admitted := simulateTenants(c, now, 3000*ms, served)
	if admitted != [2]int{300, 1500} {
		t.Errorf("without shortage %v admitted", admitted)
	}
	now, _ = simulateTenants(c, now, 2000*ms, rejected)
	now, admitted = simulateTenants(c, now, 4000*ms, rejected)
	if c.Kind() != TenantStorm || admitted[0] != 400 || admitted[1] > 130 || admitted[1] < 80 {
		t.Errorf("%s: %v admitted", c.Kind(), admitted)
	}
	simulateTenants(c, now, 10_000*ms, idle)
	if c.Kind() != None || c.tenants[1].overQuota {
		t.Errorf("%s continues", c.Kind())
	}
}
