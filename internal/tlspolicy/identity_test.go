package tlspolicy

import (
	"hollymast/internal/fakeserver/authority"
	"strings"
	"testing"
	"time"
)

// Of two files that are written one after the other neither half comes into service, and only one that stays so is told.
func TestMismatchedPairStays(t *testing.T) {
	a := authority.New("a")
	x, y := a.Issue(authority.Request{Names: []string{"x"}}), a.Issue(authority.Request{Names: []string{"y"}})
	var i Identity
	if err := i.Update(now(), x.Chain, y.Key); err == nil || i.Current() != nil {
		t.Fatal("a mismatched pair serves")
	}
	if err := i.Update(now(), x.Chain, x.Key); err != nil {
		t.Fatal(err)
	}
	i.LogLines()
	if err := i.Update(now(), y.Chain, x.Key); err == nil || len(i.LogLines()) != 0 {
		t.Errorf("between two writings: %v", err)
	}
	if err := i.Update(now(), y.Chain, y.Key); err != nil || i.Current().Leaf.DNSNames[0] != "y" || i.Version() != 2 {
		t.Errorf("%v, version %d", err, i.Version())
	}
	i.LogLines()
	for range 3 {
		i.Update(now(), x.Chain, y.Key)
	}
	i.Update(now(), []byte("torn"), y.Key)
	if notes := i.LogLines(); len(notes) != 2 || i.Current().Leaf.DNSNames[0] != "y" {
		t.Errorf("notes %q", notes)
	}
}

// A certificate that is not valid yet waits until it is; one that ended does not come into service; the end of one that serves
// is announced before and at it.
func TestCertificatesTimes(t *testing.T) {
	a := authority.New("a")
	begin := time.Now().Truncate(time.Second)
	x := a.Issue(authority.Request{Names: []string{"x"}, NotBefore: begin.Add(-80 * time.Second), NotAfter: begin.Add(20 * time.Second)})
	y := a.Issue(authority.Request{Names: []string{"y"}, NotBefore: begin.Add(10 * time.Second), NotAfter: begin.Add(time.Hour)})
	ended := a.Issue(authority.Request{Names: []string{"z"}, NotBefore: begin.Add(-time.Hour), NotAfter: begin.Add(-time.Second)})
	var i Identity
	i.Update(at(begin), x.Chain, x.Key)
	if next := i.Maintain(at(begin)); next != at(begin.Add(20*time.Second)) || len(i.LogLines()) != 2 { // in service; ends soon
		t.Errorf("the alarm is at %d", next)
	}
	if err := i.Update(at(begin), ended.Chain, ended.Key); err == nil || i.Current().Leaf.DNSNames[0] != "x" {
		t.Error("an ended certificate serves")
	}
	if err := i.Update(at(begin), y.Chain, y.Key); err != nil || i.Current().Leaf.DNSNames[0] != "x" {
		t.Errorf("%v, %v serves", err, i.Current().Leaf.DNSNames)
	}
	if next := i.Maintain(at(begin)); next != at(begin.Add(10*time.Second)) {
		t.Errorf("the alarm is at %d", next)
	}
	i.Maintain(at(begin.Add(10 * time.Second)))
	if i.Current().Leaf.DNSNames[0] != "y" {
		t.Error("what has waited does not serve")
	}
	i.LogLines()
	i.Maintain(at(begin.Add(time.Hour)))
	i.Maintain(at(begin.Add(2 * time.Hour)))
	if notes := i.LogLines(); len(notes) != 1 || !strings.Contains(notes[0], "ended") {
		t.Errorf("%q", notes)
	}
}

// Connections that show an earlier certificate are replaced one after another, all within the turnover.
func TestConnectionsTurnOver(t *testing.T) {
	a := authority.New("a")
	x, y := a.Issue(authority.Request{Names: []string{"x"}}), a.Issue(authority.Request{Names: []string{"y"}})
	var i Identity
	i.Update(now(), x.Chain, x.Key)
	version, begin := i.Version(), now()
	if i.ReplaceNow(begin+replacementPeriod, version, 0) {
		t.Error("nothing changed")
	}
	i.Update(begin, y.Chain, y.Key)
	if i.ReplaceNow(begin+replacementPeriod/2-1, version, 0.5) || !i.ReplaceNow(begin+replacementPeriod/2, version, 0.5) || i.ReplaceNow(begin+replacementPeriod, i.Version(), 0.5) {
		t.Error("not at its own place")
	}
}
