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

func newEndpoints(n int, h Health) []Endpoint {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{Address: fmt.Sprintf("10.0.0.%d:80", i), Health: h}
	}
	return endpoints
}

// setSourceReachable marks the source as up or down.
func setSourceReachable(m *Model, now control.Micros, up bool) {
	if up {
		m.SourceUp(now)
	} else {
		m.SourceDown(now)
	}
}

// countStates returns the numbers of ready and draining servers in the endpoint list.
func countStates(m *Model) (ready, draining int) {
	for _, e := range m.List() {
		if e.State == control.Ready {
			ready++
		} else {
			draining++
		}
	}
	return ready, draining
}

// newListedModel returns a model with one cluster, "a", of n healthy servers.
func newListedModel(t *testing.T, n int) *Model {
	t.Helper()
	m := New(DefaultBounds)
	m.SetClusters(second, []string{"a"})
	if err := m.SetEndpoints(second, "a", newEndpoints(n, Healthy)); err != nil {
		t.Fatal(err)
	}
	if ready, _ := countStates(m); ready != n {
		t.Fatalf("%d ready", ready)
	}
	return m
}

func TestDrainingAppliesAtOnceHoweverMany(t *testing.T) {
	m := newListedModel(t, 10)
	m.SetEndpoints(2*second, "a", newEndpoints(10, Draining))
	if ready, draining := countStates(m); ready != 0 || draining != 10 {
		t.Errorf("%d ready, %d draining", ready, draining)
	}
}

func TestSingleWithdrawalRemovesAtOnce(t *testing.T) {
	m := newListedModel(t, 10)
	for i := 9; i > 4; i-- { // one every two seconds, down to half
		m.SetEndpoints(control.Micros(2*(11-i))*second, "a", newEndpoints(i, Healthy))
		if ready, _ := countStates(m); ready != i {
			t.Errorf("%d ready of %d", ready, i)
		}
	}
}

// When half or more of the servers are withdrawn together, in one message or several, they are held. They are unchanged once they
// are listed again.
func TestMassWithdrawalIsHeld(t *testing.T) {
	for name, withdraw := range map[string]func(m *Model, now control.Micros){
		"all at once": func(m *Model, now control.Micros) { m.SetEndpoints(now, "a", nil) },
		"most":        func(m *Model, now control.Micros) { m.SetEndpoints(now, "a", newEndpoints(4, Healthy)) },
		"the cluster": func(m *Model, now control.Micros) { m.SetClusters(now, nil) },
		"in two steps": func(m *Model, now control.Micros) {
			m.SetEndpoints(now, "a", newEndpoints(5, Healthy))
			m.SetEndpoints(now+1000, "a", nil)
		},
	} {
		m := newListedModel(t, 10)
		withdraw(m, 5*second)
		ready, _ := countStates(m)
		if ready != 10 && !(name == "in two steps" && ready == 5) {
			t.Errorf("%s: %d ready", name, ready)
		}
		if next := m.Tick(6 * second); next == 0 || next > 5*second+1000+DefaultBounds.HoldTime {
			t.Errorf("%s: next call at %d", name, next)
		}
		m.SetClusters(8*second, []string{"a"})
		m.SetEndpoints(8*second, "a", newEndpoints(10, Healthy))
		m.Tick(100 * second)
		if ready, _ := countStates(m); ready != 10 {
			t.Errorf("%s: %d ready after the return", name, ready)
		}
		for _, server := range m.Servers() {
			if server.Held || server.WithdrawnAt > 0 || name != "in two steps" && server.FirstSeen != second {
				t.Errorf("%s: got %+v", name, server)
			}
		}
	}
}

// Once most of the held servers have returned, the others are assumed to be withdrawn on purpose: they are removed after SettleTime.
func TestRestOfMassWithdrawalIsRemovedOnceSettled(t *testing.T) {
	m := newListedModel(t, 10)
	m.SetEndpoints(5*second, "a", nil)
	m.SetEndpoints(8*second, "a", newEndpoints(4, Healthy)) // most are still missing: the hold stays
	if m.Tick(8*second + DefaultBounds.SettleTime); len(m.List()) != 10 {
		t.Errorf("%d listed while most are missing", len(m.List()))
	}
	m.SetEndpoints(9*second, "a", newEndpoints(9, Healthy))
	if next := m.Tick(9 * second); len(m.List()) != 10 || next != 9*second+DefaultBounds.SettleTime {
		t.Errorf("%d listed before the settle time; next call at %d", len(m.List()), next)
	}
	if m.Tick(9*second + DefaultBounds.SettleTime); len(m.List()) != 9 {
		t.Errorf("%d listed after the settle time", len(m.List()))
	}
}

// Clusters removed in one message count as one withdrawal, here ten of one server each. A server that moves to another cluster
// within a batch is not withdrawn.
func TestBatchCountsAsOneWithdrawal(t *testing.T) {
	m := New(DefaultBounds)
	var names []string
	m.Batch(second, func() {
		for i, e := range newEndpoints(10, Healthy) {
			names = append(names, fmt.Sprint("c", i))
			m.AddCluster(second, names[i])
			m.SetEndpoints(second, names[i], []Endpoint{e})
		}
	})
	m.SetClusters(5*second, nil)
	if ready, _ := countStates(m); ready != 10 {
		t.Errorf("%d ready", ready)
	}
	m.SetClusters(6*second, names[:1])
	list := newEndpoints(1, Healthy)
	m.SetEndpoints(6*second, names[0], list)
	before := m.Servers()[0].FirstSeen
	m.Batch(7*second, func() {
		m.SetEndpoints(7*second, names[0], nil)
		m.AddCluster(7*second, "other")
		m.SetEndpoints(7*second, "other", list)
	})
	if server := m.Servers()[0]; server.WithdrawnAt > 0 || server.FirstSeen != before || !slices.Equal(server.Clusters, []string{"other"}) {
		t.Errorf("got %+v", server)
	}
}

func TestHeldServersAreRemovedAfterHold(t *testing.T) {
	m := newListedModel(t, 10)
	m.SetEndpoints(5*second, "a", nil)
	m.Tick(5*second + DefaultBounds.HoldTime - 1)
	if ready, _ := countStates(m); ready != 10 {
		t.Errorf("%d ready before the hold expired", ready)
	}
	m.SourceDown(6 * second) // holds don't expire while the source can't list the servers again
	m.Tick(5*second + DefaultBounds.HoldTime)
	if ready, _ := countStates(m); ready != 10 || m.SourceDownSince() != 6*second {
		t.Errorf("%d ready while the source is down", ready)
	}
	m.SourceUp(50 * second)
	m.Tick(50 * second)
	if ready, draining := countStates(m); ready+draining != 0 {
		t.Errorf("%d ready after the hold", ready)
	}
	if logged := strings.Join(m.TakeLogLines(), "; "); !strings.Contains(logged, "held") || !strings.Contains(logged, "hold expired: 10 withdrawn servers are removed") || len(m.TakeLogLines()) > 0 {
		t.Errorf("logged %q", logged)
	}
}

// An address in two clusters is one server: it stays listed while either cluster lists it, and drains if either reports draining.
func TestOneServerInTwoClusters(t *testing.T) {
	m := New(DefaultBounds)
	m.SetClusters(second, []string{"a", "b"})
	healthy := Endpoint{Address: "10.0.0.1:80", Health: Healthy, Zone: "z"}
	m.SetEndpoints(second, "b", []Endpoint{healthy})
	drainingEndpoint := healthy
	drainingEndpoint.Health = Draining
	m.SetEndpoints(2*second, "a", []Endpoint{drainingEndpoint})
	if _, draining := countStates(m); draining != 1 {
		t.Error("the server does not drain")
	}
	m.SetEndpoints(3*second, "a", nil)
	if ready, _ := countStates(m); ready != 1 || !slices.Equal(m.Servers()[0].Clusters, []string{"b"}) {
		t.Errorf("got %+v", m.Servers())
	}
	m.SetEndpoints(4*second, "a", []Endpoint{healthy}) // the server moves from b to a
	m.SetEndpoints(4*second, "b", nil)
	if ready, _ := countStates(m); ready != 1 || m.Servers()[0].FirstSeen != second {
		t.Errorf("after the move: %+v", m.Servers())
	}
}

func TestEndpointsBeforeTheirCluster(t *testing.T) {
	m := New(Bounds{MaxOrphans: 5})
	if err := m.SetEndpoints(second, "late", newEndpoints(3, Healthy)); err != nil {
		t.Fatal(err)
	}
	if err := m.SetEndpoints(second, "never", newEndpoints(3, Healthy)); err == nil {
		t.Error("endpoints beyond MaxOrphans are accepted")
	}
	if ready, _ := countStates(m); ready != 0 {
		t.Errorf("%d ready before the cluster was announced", ready)
	}
	m.AddCluster(2*second, "late")
	if ready, _ := countStates(m); ready != 3 {
		t.Errorf("%d ready", ready)
	}
	if err := m.SetEndpoints(second, "never", newEndpoints(3, Healthy)); err != nil {
		t.Error(err)
	}
	m.DropUnannouncedCluster("never")
	if err := m.SetEndpoints(second, "other", newEndpoints(5, Healthy)); err != nil {
		t.Error(err)
	}
}

func TestFlappingServerDrainsUntilStable(t *testing.T) {
	m := newListedModel(t, 3)
	now := 2 * second
	for i := range 6 {
		list := newEndpoints(3, Healthy)
		if i%2 == 0 {
			list[0].Health = Unhealthy
		}
		now += second / 2
		m.SetEndpoints(now, "a", list)
	}
	if ready, draining := countStates(m); ready != 2 || draining != 1 {
		t.Errorf("%d ready, %d draining", ready, draining)
	}
	if next := m.Tick(now); next != now+DefaultBounds.StableTime {
		t.Errorf("next call at %d", next)
	}
	m.Tick(now + DefaultBounds.StableTime)
	if ready, _ := countStates(m); ready != 3 {
		t.Errorf("%d ready once stable", ready)
	}
}

func TestWorseHealthOfAnAddressNamedTwiceInOneCluster(t *testing.T) {
	m := New(DefaultBounds)
	m.AddCluster(second, "a")
	m.SetEndpoints(second, "a", []Endpoint{{Address: "x:1", Health: Draining}, {Address: "x:1", Health: Healthy}})
	if ready, draining := countStates(m); ready != 0 || draining != 1 {
		t.Errorf("%d ready, %d draining", ready, draining)
	}
}

// Whatever changes came before, and in whatever order the final clusters and endpoints arrive, the list is the same once it is
// stable.
func TestOrderOfArrivalDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clusters := []string{"a", "b", "c"}
		finalEndpoints := map[string][]Endpoint{}
		for _, c := range clusters {
			for i := range 6 {
				if rapid.Bool().Draw(t, "in") {
					finalEndpoints[c] = append(finalEndpoints[c], Endpoint{Address: fmt.Sprint("x:", i), Health: Health(rapid.IntRange(0, 5).Draw(t, "health")),
						Zone: fmt.Sprint("zone of ", i), StartedAt: rapid.Int64Range(0, 3).Draw(t, "born")})
				}
			}
		}
		finalClusters := rapid.SliceOfDistinct(rapid.SampledFrom(clusters), func(s string) string { return s }).Draw(t, "named")
		slices.Sort(finalClusters)
		runToStable := func(label string) *Model {
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
					m.SetEndpoints(now, c, newEndpoints(rapid.IntRange(0, 4).Draw(t, label+"some"), Healthy))
				case 3:
					setSourceReachable(m, now, rapid.Bool().Draw(t, label+"up"))
				default:
					m.Tick(now)
				}
			}
			finalUpdates := []func(){func() { m.SetClusters(now, finalClusters) }, func() { m.SourceUp(now) }}
			for _, c := range finalClusters {
				finalUpdates = append(finalUpdates, func() { m.SetEndpoints(now, c, finalEndpoints[c]) })
			}
			for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4}[:len(finalUpdates)]).Draw(t, label+"order") {
				now += 1000
				finalUpdates[i]()
			}
			for range 4 {
				now += 100 * second
				m.Tick(now)
			}
			return m
		}
		a, b := runToStable("first "), runToStable("second ")
		if !reflect.DeepEqual(a.List(), b.List()) {
			t.Fatalf("%+v and %+v", a.List(), b.List())
		}
		for _, e := range a.List() {
			if !slices.ContainsFunc(finalClusters, func(c string) bool {
				return slices.ContainsFunc(finalEndpoints[c], func(x Endpoint) bool { return x.Address == e.Address })
			}) {
				t.Fatalf("%s is listed but in no cluster", e.Address)
			}
		}
	})
}

// No healthy server is removed while the source is down.
func TestSourceDownKeepsHealthyServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(DefaultBounds)
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		m.AddCluster(second, "a")
		m.SetEndpoints(second, "a", newEndpoints(n, Healthy))
		now := 10 * second
		m.SourceDown(now)
		for range 50 {
			now += control.Micros(rapid.Int64Range(1, 100_000_000).Draw(t, "pause"))
			m.Tick(now)
			if ready, _ := countStates(m); ready != n {
				t.Fatalf("%d of %d ready", ready, n)
			}
		}
	})
}

func manyEndpoints(n int) []Endpoint {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{Address: fmt.Sprintf("10.%d.%d.1:80", i/256, i%256), Health: Healthy, Zone: fmt.Sprint(i % 3)}
	}
	return endpoints
}

// BenchmarkFullList builds a list of 10 000 endpoints in 100 clusters from scratch.
func BenchmarkFullList(b *testing.B) {
	endpoints := manyEndpoints(10_000)
	for b.Loop() {
		m := New(DefaultBounds)
		for c := range 100 {
			m.AddCluster(second, fmt.Sprint(c))
			m.SetEndpoints(second, fmt.Sprint(c), endpoints[c*100:(c+1)*100])
		}
		if len(m.List()) != 10_000 {
			b.Fatal("servers are missing")
		}
	}
}

// BenchmarkOneEndpoint changes one endpoint out of 10 000.
func BenchmarkOneEndpoint(b *testing.B) {
	endpoints := manyEndpoints(10_000)
	m := New(DefaultBounds)
	for c := range 100 {
		m.AddCluster(second, fmt.Sprint(c))
		m.SetEndpoints(second, fmt.Sprint(c), endpoints[c*100:(c+1)*100])
	}
	now := second
	for b.Loop() {
		now += second
		endpoints[0].StartedAt++
		m.SetEndpoints(now, "0", endpoints[:100])
	}
}

// A lower priority gets no requests while the higher ones suffice. It is activated at once when they don't, and released once they
// have sufficed for StableTime. The source's overprovisioning factor is applied.
func TestLowerPriorityIsActivated(t *testing.T) {
	m := New(DefaultBounds)
	m.AddCluster(1, "c")
	update := func(now control.Micros, healthy int) {
		list := newEndpoints(10, Healthy)
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
	expectReady := func(want int, why string) {
		t.Helper()
		if n, _ := countStates(m); n != want {
			t.Errorf("%s: %d ready, want %d", why, n, want)
		}
	}
	update(10, 7)
	expectReady(7, "the whole first priority is healthy")
	update(20, 5)
	expectReady(5, "5 of 7 suffice with a factor of 1.4")
	version := m.Version()
	update(30, 4)
	expectReady(5, "4 of 7 don't suffice: the second priority is added")
	if m.Version() == version {
		t.Error("the version has not changed")
	}
	update(40, 0)
	expectReady(1, "the first priority is unhealthy: the one server of the second is all of it, and suffices")
	update(50, 7)
	expectReady(8, "the first priority is back, but not stable yet")
	next := m.Tick(60)
	if next != 50+DefaultBounds.StableTime {
		t.Errorf("next call at %d", next)
	}
	m.Tick(next)
	expectReady(7, "the first priority is stable")
	m.SetOverprovisioning("c", 1)
	update(next+10, 6)
	expectReady(7, "6 of 7 don't suffice without overprovisioning")
}

// If the source changes a server all the time, updates are rate-limited, and the last one has the server's final state.
func TestUpdatesArePaced(t *testing.T) {
	m := newListedModel(t, 1000)
	updates, now := 0, control.Micros(1_000_000)
	m.TakeUpdate(now)
	for range 1000 {
		now += 1000
		list := newEndpoints(1000, Healthy)
		list[0].Weight = uint32(now)
		if err := m.SetEndpoints(now, "a", list); err != nil {
			t.Fatal(err)
		}
		if _, changed := m.TakeUpdate(now); changed {
			updates++
		}
	}
	if minUpdates := 400; updates < minUpdates || updates > 500 { // one every 2 ms
		t.Errorf("%d updates in a second", updates)
	}
	last, changed := m.TakeUpdate(m.Tick(now))
	if m.version == m.takenVersion && !changed {
		return // the last change is already in an update
	}
	if !changed || last.Endpoints[0].Weight != float64(uint32(now))/100 {
		t.Errorf("the last change is missing: %t %+v", changed, last)
	}
}

// Applied one after another, the updates give the same list as List, whatever the source reports.
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
				setSourceReachable(m, now, rapid.Bool().Draw(t, "up"))
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
					t.Fatalf("%+v changes nothing", e)
				}
				if list[e.Address] = e; e.State == control.Removed {
					delete(list, e.Address)
				}
			}
			got := slices.SortedFunc(maps.Values(list), func(a, b fleet.Endpoint) int { return cmp.Compare(a.Address, b.Address) })
			if want := m.List(); !slices.Equal(got, want) {
				t.Fatalf("the updates give %+v, the list is %+v", got, want)
			}
		}
	})
}

// BenchmarkFleetSize changes one server and takes the update, in fleets of different sizes with 100 servers per cluster.
func BenchmarkFleetSize(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("news/servers=%d", servers), func(b *testing.B) {
			endpoints, m := manyEndpoints(servers), New(DefaultBounds)
			for c := range servers / 100 {
				m.AddCluster(second, fmt.Sprint(c))
				m.SetEndpoints(second, fmt.Sprint(c), endpoints[c*100:(c+1)*100])
			}
			m.TakeUpdate(second)
			now := second
			b.ReportAllocs()
			for b.Loop() {
				now += second
				endpoints[0].StartedAt++
				m.SetEndpoints(now, "0", endpoints[:100])
				if _, changed := m.TakeUpdate(now); !changed {
					b.Fatal("no update")
				}
			}
		})
	}
}
