package membership

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hollymast/control"
	"hollymast/internal/fleet"
)

const second = control.Micros(1_000_000)

func endpoints(n int, h Health) []Endpoint {
	es := make([]Endpoint, n)
	for i := range es {
		es[i] = Endpoint{Address: fmt.Sprintf("10.0.0.%d:80", i), Health: h}
	}
	return es
}

// setSource records a drawn state of the source.
func setSource(m *Model, now control.Micros, up bool) {
	if up {
		m.SourceUp(now)
	} else {
		m.SourceDown(now)
	}
}

// states counts the ready and the draining servers of the endpoint list.
func states(m *Model) (ready, draining int) {
	for _, e := range m.List() {
		if e.State == control.Ready {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining
}

// listed returns a model of one cluster, "a", with n healthy servers.
func listed(t *testing.T, n int) *Model {
	t.Helper()
	m := New(DefaultBounds)
	m.SetClusters(second, []string{"a"})
	if err := m.SetEndpoints(second, "a", endpoints(n, Healthy)); err != nil {
		t.Fatal(err)
	}
	if ready, _ := states(m); ready != n {
		t.Fatalf("%d ready", ready)
	}
	return m
}

func TestDrainingAppliesAtOnceHoweverMany(t *testing.T) {
	m := listed(t, 10)
	m.SetEndpoints(2*second, "a", endpoints(10, Draining))
	if ready, draining := states(m); ready != 0 || draining != 10 {
		t.Errorf("%d ready, %d draining", ready, draining)
	}
}

func TestSingleWithdrawalRemovesAtOnce(t *testing.T) {
	m := listed(t, 10)
	for i := 9; i > 4; i-- { // one every two seconds, down to half
		m.SetEndpoints(control.Micros(2*(11-i))*second, "a", endpoints(i, Healthy))
		if ready, _ := states(m); ready != i {
			t.Errorf("%d ready of %d", ready, i)
		}
	}
}

// Half or all of the servers withdrawn at once, in one message or several, are held, and unchanged when they are listed again.
func TestMassWithdrawalIsHeld(t *testing.T) {
	for name, withdraw := range map[string]func(m *Model, now control.Micros){
		"all at once": func(m *Model, now control.Micros) { m.SetEndpoints(now, "a", nil) },
		"most":        func(m *Model, now control.Micros) { m.SetEndpoints(now, "a", endpoints(4, Healthy)) },
		"the cluster": func(m *Model, now control.Micros) { m.SetClusters(now, nil) },
		"some by some": func(m *Model, now control.Micros) {
			m.SetEndpoints(now, "a", endpoints(5, Healthy))
			m.SetEndpoints(now+1000, "a", nil)
		},
	} {
		m := listed(t, 10)
		withdraw(m, 5*second)
		ready, _ := states(m)
		if ready != 10 && !(name == "some by some" && ready == 5) {
			t.Errorf("%s: %d ready", name, ready)
		}
		if next := m.Tick(6 * second); next == 0 || next > 5*second+1000+DefaultBounds.HoldTime {
			t.Errorf("%s: next call at %d", name, next)
		}
		m.SetClusters(8*second, []string{"a"})
		m.SetEndpoints(8*second, "a", endpoints(10, Healthy))
		m.Tick(100 * second)
		if ready, _ := states(m); ready != 10 {
			t.Errorf("%s: %d ready after it came back", name, ready)
		}
		for _, f := range m.Servers() {
			if f.Held || f.WithdrawnAt > 0 || name != "some by some" && f.FirstSeen != second {
				t.Errorf("%s: got %+v", name, f)
			}
		}
	}
}

// Once most of the held servers are back, the others were withdrawn by intent.
func TestRestOfMassWithdrawalIsRemovedOnceSettled(t *testing.T) {
	m := listed(t, 10)
	m.SetEndpoints(5*second, "a", nil)
	m.SetEndpoints(8*second, "a", endpoints(4, Healthy)) // not yet
	if m.Tick(8*second + DefaultBounds.SettleTime); len(m.List()) != 10 {
		t.Errorf("%d on the list while most are missing", len(m.List()))
	}
	m.SetEndpoints(9*second, "a", endpoints(9, Healthy))
	if next := m.Tick(9 * second); len(m.List()) != 10 || next != 9*second+DefaultBounds.SettleTime {
		t.Errorf("%d on the list at once; next call at %d", len(m.List()), next)
	}
	if m.Tick(9*second + DefaultBounds.SettleTime); len(m.List()) != 9 {
		t.Errorf("%d on the list in the end", len(m.List()))
	}
}

// Many clusters of one server each, withdrawn in one message, are one withdrawal; a server that another cluster names stays.
func TestBatchCountsAsOneWithdrawal(t *testing.T) {
	m := New(DefaultBounds)
	var names []string
	m.Batch(second, func() {
		for i, e := range endpoints(10, Healthy) {
			names = append(names, fmt.Sprint("c", i))
			m.AddCluster(second, names[i])
			m.SetEndpoints(second, names[i], []Endpoint{e})
		}
	})
	m.SetClusters(5*second, nil)
	if ready, _ := states(m); ready != 10 {
		t.Errorf("%d ready", ready)
	}
	m.SetClusters(6*second, names[:1])
	x := endpoints(1, Healthy)
	m.SetEndpoints(6*second, names[0], x)
	before := m.Servers()[0].FirstSeen
	m.Batch(7*second, func() {
		m.SetEndpoints(7*second, names[0], nil)
		m.AddCluster(7*second, "other")
		m.SetEndpoints(7*second, "other", x)
	})
	if f := m.Servers()[0]; f.WithdrawnAt > 0 || f.FirstSeen != before || !slices.Equal(f.Clusters, []string{"other"}) {
		t.Errorf("got %+v", f)
	}
}

func TestHeldServersAreRemovedAfterHold(t *testing.T) {
	m := listed(t, 10)
	m.SetEndpoints(5*second, "a", nil)
	m.Tick(5*second + DefaultBounds.HoldTime - 1)
	if ready, _ := states(m); ready != 10 {
		t.Errorf("%d ready before its time", ready)
	}
	m.SourceDown(6 * second) // holds don't end meanwhile: the source can't list the servers again
	m.Tick(5*second + DefaultBounds.HoldTime)
	if ready, _ := states(m); ready != 10 || m.SourceDownSince() != 6*second {
		t.Errorf("%d ready while the source is down", ready)
	}
	m.SourceUp(50 * second)
	m.Tick(50 * second)
	if ready, draining := states(m); ready+draining != 0 {
		t.Errorf("%d ready in the end", ready)
	}
	if notes := strings.Join(m.TakeLogLines(), "; "); !strings.Contains(notes, "held") || !strings.Contains(notes, "stayed withdrawn: they are removed") || len(m.TakeLogLines()) > 0 {
		t.Errorf("logged %q", notes)
	}
}

// An endpoint in two clusters is one server: it stays while one names it, and drains where either says so.
func TestOneServerInTwoClusters(t *testing.T) {
	m := New(DefaultBounds)
	m.SetClusters(second, []string{"a", "b"})
	x := Endpoint{Address: "10.0.0.1:80", Health: Healthy, Zone: "z"}
	m.SetEndpoints(second, "b", []Endpoint{x})
	drains := x
	drains.Health = Draining
	m.SetEndpoints(2*second, "a", []Endpoint{drains})
	if _, draining := states(m); draining != 1 {
		t.Error("it does not drain")
	}
	m.SetEndpoints(3*second, "a", nil)
	if ready, _ := states(m); ready != 1 || !slices.Equal(m.Servers()[0].Clusters, []string{"b"}) {
		t.Errorf("got %+v", m.Servers())
	}
	m.SetEndpoints(4*second, "a", []Endpoint{x}) // it moves
	m.SetEndpoints(4*second, "b", nil)
	if ready, _ := states(m); ready != 1 || m.Servers()[0].FirstSeen != second {
		t.Errorf("after its move: %+v", m.Servers())
	}
}

func TestEndpointsBeforeTheirCluster(t *testing.T) {
	m := New(Bounds{MaxOrphans: 5})
	if err := m.SetEndpoints(second, "late", endpoints(3, Healthy)); err != nil {
		t.Fatal(err)
	}
	if err := m.SetEndpoints(second, "never", endpoints(3, Healthy)); err == nil {
		t.Error("endpoints beyond the bound are kept")
	}
	if ready, _ := states(m); ready != 0 {
		t.Errorf("%d ready with no cluster", ready)
	}
	m.AddCluster(2*second, "late")
	if ready, _ := states(m); ready != 3 {
		t.Errorf("%d ready", ready)
	}
	if err := m.SetEndpoints(second, "never", endpoints(3, Healthy)); err != nil {
		t.Error(err)
	}
	m.DropUnannouncedCluster("never")
	if err := m.SetEndpoints(second, "other", endpoints(5, Healthy)); err != nil {
		t.Error(err)
	}
}

func TestFlappingServerDrainsUntilStable(t *testing.T) {
	m := listed(t, 3)
	now := 2 * second
	for i := range 6 {
		es := endpoints(3, Healthy)
		if i%2 == 0 {
			es[0].Health = Unhealthy
		}
		now += second / 2
		m.SetEndpoints(now, "a", es)
	}
	if ready, draining := states(m); ready != 2 || draining != 1 {
		t.Errorf("%d ready, %d draining", ready, draining)
	}
	if next := m.Tick(now); next != now+DefaultBounds.StableTime {
		t.Errorf("next call at %d", next)
	}
	m.Tick(now + DefaultBounds.StableTime)
	if ready, _ := states(m); ready != 3 {
		t.Errorf("%d ready once stable", ready)
	}
}

func TestWorseHealthOfAnAddressNamedTwiceInOneCluster(t *testing.T) {
	m := New(DefaultBounds)
	m.AddCluster(second, "a")
	m.SetEndpoints(second, "a", []Endpoint{{Address: "x:1", Health: Draining}, {Address: "x:1", Health: Healthy}})
	if ready, draining := states(m); ready != 0 || draining != 1 {
		t.Errorf("%d ready, %d draining", ready, draining)
	}
}

// Any order of arrival ends in the same list, once all has arrived and is stable.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clusters := []string{"a", "b", "c"}
		last := map[string][]Endpoint{}
		for _, c := range clusters {
			for i := range 6 {
				if rapid.Bool().Draw(t, "in") {
					last[c] = append(last[c], Endpoint{Address: fmt.Sprint("x:", i), Health: Health(rapid.IntRange(0, 5).Draw(t, "health")),
						Zone: fmt.Sprint("zone of ", i), StartedAt: rapid.Int64Range(0, 3).Draw(t, "born")})
				}
			}
		}
		named := rapid.SliceOfDistinct(rapid.SampledFrom(clusters), func(s string) string { return s }).Draw(t, "named")
		slices.Sort(named)
		end := func(label string) *Model {
			m := New(DefaultBounds)
			now := second
			for range rapid.IntRange(0, 20).Draw(t, label+"changes before") {
				now += control.Micros(rapid.IntRange(0, 3_000_000).Draw(t, label+"pause"))
				c := rapid.SampledFrom(clusters).Draw(t, label+"cluster")
				switch rapid.IntRange(0, 4).Draw(t, label+"what") {
				case 0:
					m.AddCluster(now, c)
				case 1:
					m.RemoveCluster(now, c)
				case 2:
					m.SetEndpoints(now, c, endpoints(rapid.IntRange(0, 4).Draw(t, label+"some"), Healthy))
				case 3:
					setSource(m, now, rapid.Bool().Draw(t, label+"up"))
				default:
					m.Tick(now)
				}
			}
			steps := []func(){func() { m.SetClusters(now, named) }, func() { m.SourceUp(now) }}
			for _, c := range named {
				steps = append(steps, func() { m.SetEndpoints(now, c, last[c]) })
			}
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(steps)]).Draw(t, label+"order") {
				now += 1000
				steps[i]()
			}
			for range 4 {
				now += 100 * second
				m.Tick(now)
			}
			return m
		}
		a, b := end("first "), end("second ")
		if !reflect.DeepEqual(a.List(), b.List()) {
			t.Fatalf("%+v and %+v", a.List(), b.List())
		}
		for _, e := range a.List() {
			if !slices.ContainsFunc(named, func(c string) bool {
				return slices.ContainsFunc(last[c], func(x Endpoint) bool { return x.Address == e.Address })
			}) {
				t.Fatalf("%s is on the list and in no cluster", e.Address)
			}
		}
	})
}

// While the source is down no healthy server is removed.
func TestSourceDownKeepsHealthyServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultBounds)
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		m.AddCluster(second, "a")
		m.SetEndpoints(second, "a", endpoints(n, Healthy))
		now := 10 * second
		m.SourceDown(now)
		for range 50 {
			now += control.Micros(rapid.Int64Range(1, 100_000_000).Draw(t, "pause"))
			m.Tick(now)
			if ready, _ := states(m); ready != n {
				t.Fatalf("%d of %d ready", ready, n)
			}
		}
	})
}

func large(n int) []Endpoint {
	es := make([]Endpoint, n)
	for i := range es {
		es[i] = Endpoint{Address: fmt.Sprintf("10.%d.%d.1:80", i/256, i%256), Health: Healthy, Zone: fmt.Sprint(i % 3)}
	}
	return es
}

// BenchmarkFullList builds the list of 10 000 endpoints in 100 clusters from nothing.
func BenchmarkFullList(b *testing.B) {
	es := large(10_000)
	for b.Loop() {
		m := New(DefaultBounds)
		for c := range 100 {
			m.AddCluster(second, fmt.Sprint(c))
			m.SetEndpoints(second, fmt.Sprint(c), es[c*100:(c+1)*100])
		}
		if len(m.List()) != 10_000 {
			b.Fatal("servers are missing")
		}
	}
}

// BenchmarkOneEndpoint changes one endpoint of 10 000.
func BenchmarkOneEndpoint(b *testing.B) {
	es := large(10_000)
	m := New(DefaultBounds)
	for c := range 100 {
		m.AddCluster(second, fmt.Sprint(c))
		m.SetEndpoints(second, fmt.Sprint(c), es[c*100:(c+1)*100])
	}
	now := second
	for b.Loop() {
		now += second
		es[0].StartedAt++
		m.SetEndpoints(now, "0", es[:100])
	}
}

// Servers of a lower priority get nothing while those above are enough, are activated at once when they are not, and released
// once those above were enough for the stable time. The source's overprovisioning factor counts.
func TestLowerPriorityIsActivated(t *testing.T) {
	m := New(DefaultBounds)
	m.AddCluster(1, "c")
	update := func(now control.Micros, healthy int) {
		list := endpoints(10, Healthy)
		for i := range list {
			switch {
			case i >= 7:
				list[i].Priority = uint32(i - 6) // one each at 1, 2 and 3
			case i >= healthy:
				list[i].Health = Unhealthy
			}
		}
		if err := m.SetEndpoints(now, "c", list); err != nil {
			t.Fatal(err)
		}
	}
	ready := func(want int, why string) {
		t.Helper()
		if n, _ := states(m); n != want {
			t.Errorf("%s: %d ready, want %d", why, n, want)
		}
	}
	update(10, 7)
	ready(7, "all of the first level are healthy")
	update(20, 5)
	ready(5, "5 of 7 are enough with 1.4 spare")
	version := m.Version()
	update(30, 4)
	ready(5, "4 of 7 and one of the second level")
	if m.Version() == version {
		t.Error("the list has the same version")
	}
	update(40, 0)
	ready(1, "none of the first level: one of the second is that level's whole")
	update(50, 7)
	ready(8, "not yet stable")
	next := m.Tick(60)
	if next != 50+DefaultBounds.StableTime {
		t.Errorf("the timer is at %d", next)
	}
	m.Tick(next)
	ready(7, "stable")
	m.SetOverprovisioning("c", 1)
	update(next+10, 6)
	ready(7, "without overprovisioning 6 of 7 are too few")
}

// A source that changes one server all the time gets paced updates, and the last of them has its last state.
func TestUpdatesArePaced(t *testing.T) {
	m := listed(t, 1000)
	updates, now := 0, control.Micros(1_000_000)
	m.TakeUpdate(now)
	for range 1000 {
		now += 1000
		list := endpoints(1000, Healthy)
		list[0].Weight = uint32(now)
		if err := m.SetEndpoints(now, "a", list); err != nil {
			t.Fatal(err)
		}
		if _, changed := m.TakeUpdate(now); changed {
			updates++
		}
	}
	if least := 400; updates < least || updates > 500 { // one each 2 ms
		t.Errorf("%d updates in a second", updates)
	}
	last, changed := m.TakeUpdate(m.Tick(now))
	if m.version == m.takenVersion && !changed {
		return // the last change was in an update at once
	}
	if !changed || last.Endpoints[0].Weight != float64(uint32(now))/100 {
		t.Errorf("the last change is missing: %t %+v", changed, last)
	}
}

// All updates taken together are the list, whatever the source says.
func TestUpdatesAddUpToList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := DefaultBounds
		bounds.FlapLimit = 2
		m, now, list := New(bounds), second, map[string]fleet.Endpoint{}
		clusters := []string{"a", "b"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += control.Micros(rapid.SampledFrom([]int{0, 1000, 300_000, 6_000_000, 40_000_000}).Draw(t, "pause"))
			cluster := rapid.SampledFrom(clusters).Draw(t, "cluster")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				m.AddCluster(now, cluster)
			case 1:
				m.RemoveCluster(now, cluster)
			case 2:
				setSource(m, now, rapid.Bool().Draw(t, "up"))
			case 3:
				m.SetClusters(now, rapid.SliceOfDistinct(rapid.SampledFrom(clusters), func(s string) string { return s }).Draw(t, "named"))
			case 4:
				m.Tick(now)
			default:
				m.SetEndpoints(now, cluster, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Endpoint {
					return Endpoint{Address: fmt.Sprint("x:", rapid.IntRange(0, 7).Draw(t, "address")), Health: Health(rapid.IntRange(0, 5).Draw(t, "health")),
						Priority: uint32(rapid.IntRange(0, 2).Draw(t, "priority")), Weight: uint32(rapid.IntRange(0, 1).Draw(t, "weight"))}
				}), 0, 8).Draw(t, "endpoints"))
			}
			update, changed := m.TakeUpdate(now)
			if !changed {
				continue
			}
			if update.Full {
				clear(list)
			}
			for _, e := range update.Endpoints {
				if e == list[e.Address] {
					t.Fatalf("%+v is no change", e)
				}
				if list[e.Address] = e; e.State == control.Removed {
					delete(list, e.Address)
				}
			}
			got := slices.SortedFunc(maps.Values(list), func(a, b fleet.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
			if want := m.List(); !slices.Equal(got, want) {
				t.Fatalf("by updates %+v, the list is %+v", got, want)
			}
		}
	})
}

// BenchmarkFleetSize changes one server in a fleet of clusters of 100 servers, and takes the update.
func BenchmarkFleetSize(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("news/servers=%d", servers), func(b *testing.B) {
			es, m := large(servers), New(DefaultBounds)
			for c := range servers / 100 {
				m.AddCluster(second, fmt.Sprint(c))
				m.SetEndpoints(second, fmt.Sprint(c), es[c*100:(c+1)*100])
			}
			m.TakeUpdate(second)
			now := second
			b.ReportAllocs()
			for b.Loop() {
				now += second
				es[0].StartedAt++
				m.SetEndpoints(now, "0", es[:100])
				if _, changed := m.TakeUpdate(now); !changed {
					b.Fatal("no update")
				}
			}
		})
	}
}
