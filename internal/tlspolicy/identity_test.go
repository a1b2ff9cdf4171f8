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

// currentName is the name of the certificate in service.
func currentName(i *Identity) string { return i.Current().Leaf.DNSNames[0] }

// While two files are replaced one after the other neither half comes into service, and a mismatch is logged only if it stays.
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
	i.LogLines()
	if err := i.Update(now(), y.Chain, x.Key); err == nil || len(i.LogLines()) != 0 {
		t.Errorf("half replaced: %v", err)
	}
	if err := i.Update(now(), y.Chain, y.Key); err != nil || currentName(&i) != "y" || i.Version() != 2 {
		t.Errorf("%v, version %d", err, i.Version())
	}
	i.LogLines()
	for range 3 {
		i.Update(now(), x.Chain, y.Key)
	}
	i.Update(now(), []byte("torn"), y.Key)
	if lines := i.LogLines(); len(lines) != 2 || currentName(&i) != "y" {
		t.Errorf("log lines %q", lines)
	}
}

// A certificate that is not valid yet waits until it is, an expired one does not come into service, and the expiry of the current one is
// logged in advance and when it comes.
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
	if next := i.Maintain(microsOf(begin)); next != microsOf(after(20*time.Second)) || len(i.LogLines()) != 2 { // in service; expires soon
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
	i.LogLines()
	i.Maintain(microsOf(after(time.Hour)))
	i.Maintain(microsOf(after(2 * time.Hour)))
	if lines := i.LogLines(); len(lines) != 1 || !strings.Contains(lines[0], "ended") {
		t.Errorf("log lines %q", lines)
	}
}

// Connections made with an earlier certificate are replaced one after another, all within the period.
func TestReplaceNow(t *testing.T) {
	a := authority.New("a")
	x, y := issueNamed(a, "x"), issueNamed(a, "y")
	begin := now()
	var i Identity
	if err := i.Update(begin, x.Chain, x.Key); err != nil {
		t.Fatal(err)
	}
	version := i.Version()
	if i.ShouldReplace(begin+replacementPeriod, version, 0) {
		t.Error("nothing changed")
	}
	if err := i.Update(begin, y.Chain, y.Key); err != nil {
		t.Fatal(err)
	}
	if i.ShouldReplace(begin+replacementPeriod/2-1, version, 0.5) || !i.ShouldReplace(begin+replacementPeriod/2, version, 0.5) {
		t.Error("not at its own position")
	}
	if i.ShouldReplace(begin+replacementPeriod, i.Version(), 0.5) {
		t.Error("a connection with the current certificate is replaced")
	}
}
