package xds

import (
	"context"
	"hollymast/control"
	"hollymast/internal/membership"
	"slices"
	"testing"
	"time"
)

// What one router's view holds another router reads, by either variant.
func TestClientFollowsView(t *testing.T) {
	for name, variant := range variants {
		v, err := NewView("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		seen := []ServerView{{Address: "127.0.0.1:80", Zone: "a", Cell: "a1", Weight: 2, StartedAt: 1_796_133_869_057_624, Health: membership.Healthy},
			{Address: "127.0.0.2:80", Zone: "b", Weight: 1, Health: membership.Unhealthy}, {Address: "127.0.0.3:80", Weight: 1, Health: membership.Draining}}
		if err := v.Publish(1, seen); err != nil {
			t.Fatal(err)
		}
		m := membership.New(membership.DefaultBounds)
		ctx, stop := context.WithCancel(context.Background())
		facts := make(chan []membership.Server, 100)
		done := make(chan error, 1)
		go func() {
			done <- Transport{Address: v.Address(), Variant: variant, Now: now, OnUpdate: func(control.Micros) { facts <- m.Servers() }, Log: func(string) {}}.Run(ctx, NewClient(m, "r", "", variant, DefaultBounds))
		}()
		await := func(want []membership.Endpoint) {
			t.Helper()
			var got []membership.Endpoint
			for end := time.After(5 * time.Second); !slices.Equal(got, want); {
				select {
				case fs := <-facts:
					got = got[:0]
					for _, f := range fs {
						if f.WithdrawnAt == 0 {
							got = append(got, f.Endpoint)
						}
					}
				case <-end:
					t.Fatalf("%s: got %+v, want %+v", name, got, want)
				}
			}
		}
		want := []membership.Endpoint{{Address: "127.0.0.1:80", Health: membership.Healthy, Weight: 200, Zone: "a", Cell: "a1", StartedAt: seen[0].StartedAt},
			{Address: "127.0.0.2:80", Health: membership.Unhealthy, Weight: 100, Zone: "b"}, {Address: "127.0.0.3:80", Health: membership.Draining, Weight: 100}}
		await(want)
		again := slices.Clone(seen)
		again[1].InFlight = 1 // a change of loads alone, too soon after the last version
		if err := v.Publish(2, again); err != nil || v.version != 1 {
			t.Errorf("version %d, %v", v.version, err)
		}
		again[1].Health = membership.Healthy
		if err := v.Publish(3, again[:2]); err != nil {
			t.Fatal(err)
		}
		want[1].Health = membership.Healthy
		await(want[:2])
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		v.Close()
	}
}
