package overload

import (
	"hollymast/control"
	"testing"
)

// While one tenant storms the others lose nothing.
func TestOneTenantStorms(t *testing.T) {
	w, now := calm(t)
	kept, asked := 0, 0
	for step := control.Micros(0); step < 5000; step++ {
		at := now + step*ms
		w.Admit(at, Request{Tenant: 1, IsRetry: true})
		if step%10 == 0 {
			asked++
			if w.Admit(at, Request{Tenant: 0}).Admitted {
				kept++
			}
			w.RecordAnswer(at)
		}
	}
	if w.Kind() != TenantStorm || kept < asked*97/100 {
		t.Errorf("%s, %d of %d of the calm tenant's let in", w.Kind(), kept, asked)
	}
}

// A tenant that asks for far more than its share while capacity is short has its share, though all its calls look like first tries;
// the others lose nothing, and it is let off once it is calm. Without shortage nobody's share counts.
func TestTenantBeyondItsShare(t *testing.T) {
	w, now := calm(t)
	w.quotas = []float64{200, 20}
	play := func(length control.Micros, loud, refused bool) (of [2]int) {
		for step := control.Micros(0); step < length/ms; step++ {
			at := now + step*ms
			if loud && step%2 == 0 && w.Admit(at, Request{Tenant: 1}).Admitted {
				if of[1]++; refused && step%4 == 0 {
					w.RecordRejection(at, 2000*ms, 0)
				} else {
					w.RecordAnswer(at)
				}
			}
			if step%10 == 0 && w.Admit(at, Request{Tenant: 0}).Admitted {
				of[0]++
				w.RecordAnswer(at)
			}
		}
		now += length
		return of
	}
	if of := play(3000*ms, true, false); of != [2]int{300, 1500} {
		t.Errorf("nothing is refused by the module: %v let in", of)
	}
	play(2000*ms, true, true)
	if of := play(4000*ms, true, true); w.Kind() != TenantStorm || of[0] != 400 || of[1] > 130 || of[1] < 80 {
		t.Errorf("%s: %v let in", w.Kind(), of)
	}
	play(10_000*ms, false, false)
	if w.Kind() != None || w.tenants[1].overQuota {
		t.Errorf("%s goes on", w.Kind())
	}
}
