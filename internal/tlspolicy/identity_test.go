package tlspolicy

import (
	"strings"
	"testing"
	"time"

	"hollymast/internal/fakeserver/authority"
)

// issueNamed issues a certificate with one name.
func issueNamed(a *authority.Authority, name string) authority.Certificate {
	return a.Issue(authority.Request{Names: []string{name}})
}

// currentName returns the name of the certificate in service.
func currentName(i *Identity) string { return i.Current().Leaf.DNSNames[0] }

// While the two files are replaced one after the other, the mismatched pair does not come into service. The mismatch is logged only if
// it persists.
func TestKeyMismatch(t *testing.T) {
	a := authority.New("a")
	x, y := issueNamed(a, "x"), issueNamed(a, "y")
	var i Identity
	if err := i.Update(now(), x.Chain, y.Key); err == nil || i.Current() != nil {
		t.Fatal("a mismatched pair is in service")
	}
	if err := i.Update(now(), x.Chain, x.Key); err != nil {
		t.Fatal(err)
	}
	i.TakeLogLines()
	if err := i.Update(now(), y.Chain, x.Key); err == nil || len(i.TakeLogLines()) != 0 {
		t.Errorf("only the certificate is replaced: %v", err)
	}
	if err := i.Update(now(), y.Chain, y.Key); err != nil || currentName(&i) != "y" || i.Version() != 2 {
		t.Errorf("%v, version %d", err, i.Version())
	}
	i.TakeLogLines()
	for range 3 {
		i.Update(now(), x.Chain, y.Key)
	}
	i.Update(now(), []byte("torn"), y.Key)
	if lines := i.TakeLogLines(); len(lines) != 2 || currentName(&i) != "y" {
		t.Errorf("log lines %q", lines)
	}
}

// A certificate that is not valid yet comes into service once it is; an expired one does not. The expiry of the current certificate is
// logged in advance and when it happens.
func TestValidity(t *testing.T) {
	a := authority.New("a")
	begin := time.Now().Truncate(time.Second)
	after := func(d time.Duration) time.Time { return begin.Add(d) }
	current := a.Issue(authority.Request{Names: []string{"x"}, NotBefore: after(-80 * time.Second), NotAfter: after(20 * time.Second)})
	pending := a.Issue(authority.Request{Names: []string{"y"}, NotBefore: after(10 * time.Second), NotAfter: after(time.Hour)})
	expired := a.Issue(authority.Request{Names: []string{"z"}, NotBefore: after(-time.Hour), NotAfter: after(-time.Second)})
	var i Identity
	if err := i.Update(microsOf(begin), current.Chain, current.Key); err != nil {
		t.Fatal(err)
	}
	if next := i.Maintain(microsOf(begin)); next != microsOf(after(20*time.Second)) || len(i.TakeLogLines()) != 2 { // in service; expires soon
		t.Errorf("next at %d", next)
	}
	if err := i.Update(microsOf(begin), expired.Chain, expired.Key); err == nil || currentName(&i) != "x" {
		t.Error("an expired certificate is in service")
	}
	if err := i.Update(microsOf(begin), pending.Chain, pending.Key); err != nil || currentName(&i) != "x" {
		t.Errorf("%v, %v is in service", err, currentName(&i))
	}
	if next := i.Maintain(microsOf(begin)); next != microsOf(after(10*time.Second)) {
		t.Errorf("next at %d", next)
	}
	i.Maintain(microsOf(after(10 * time.Second)))
	if currentName(&i) != "y" {
		t.Error("the pending certificate is not in service")
	}
	i.TakeLogLines()
	i.Maintain(microsOf(after(time.Hour)))
	i.Maintain(microsOf(after(2 * time.Hour)))
	if lines := i.TakeLogLines(); len(lines) != 1 || !strings.Contains(lines[0], "expired") {
		t.Errorf("log lines %q", lines)
	}
}

// Connections made with an earlier certificate are replaced at their own points in the replacement period, none before.
func TestShouldReplace(t *testing.T) {
	a := authority.New("a")
	x, y := issueNamed(a, "x"), issueNamed(a, "y")
	begin := now()
	var i Identity
	if err := i.Update(begin, x.Chain, x.Key); err != nil {
		t.Fatal(err)
	}
	version := i.Version()
	if i.ShouldReplace(begin+replacementPeriod, version, 0) {
		t.Error("a connection is replaced although the certificate has not changed")
	}
	if err := i.Update(begin, y.Chain, y.Key); err != nil {
		t.Fatal(err)
	}
	if i.ShouldReplace(begin+replacementPeriod/2-1, version, 0.5) || !i.ShouldReplace(begin+replacementPeriod/2, version, 0.5) {
		t.Error("the connection is replaced before its point in the replacement period, or not at that point")
	}
	if i.ShouldReplace(begin+replacementPeriod, i.Version(), 0.5) {
		t.Error("a connection with the current certificate is replaced")
	}
}
