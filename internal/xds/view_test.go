package xds

import (
	"context"
	"hollymast/control"
	"hollymast/internal/membership"
	"slices"
	"testing"
	"time"
)

// A client that follows another router's view gets the servers of the view, with either variant.
func TestClientFollowsView(t *testing.T) {
	for name, variant := range variants {
		v, err := NewView("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		published := []ServerView{{Address: "127.0.0.1:80", Zone: "a", Cell: "a1", Weight: 2, StartedAt: 1_796_133_869_057_624, Health: membership.Healthy},
			{Address: "127.0.0.2:80", Zone: "b", Weight: 1, Health: membership.Unhealthy}, {Address: "127.0.0.3:80", Weight: 1, Health: membership.Draining}}
		if err := v.Publish(1, published); err != nil {
			t.Fatal(err)
		}
		m := membership.New(membership.DefaultBounds)
		ctx, stop := context.WithCancel(context.Background())
		updates := make(chan []membership.Server, 100)
		done := make(chan error, 1)
		go func() {
			done <- Transport{Address: v.Address(), Variant: variant, Now: now, OnUpdate: func(control.Micros) { updates <- m.Servers() }, Log: func(string) {}}.Run(ctx, NewClient(m, "r", "", variant, DefaultBounds))
		}()
		await := func(want []membership.Endpoint) {
			t.Helper()
			var got []membership.Endpoint
			for end := time.After(5 * time.Second); !slices.Equal(got, want); {
				select {
				case servers := <-updates:
					got = got[:0]
					for _, server := range servers {
						if server.WithdrawnAt == 0 {
							got = append(got, server.Endpoint)
						}
					}
				case <-end:
					t.Fatalf("%s: got %+v, want %+v", name, got, want)
				}
			}
		}
		want := []membership.Endpoint{{Address: "127.0.0.1:80", Health: membership.Healthy, Weight: 200, Zone: "a", Cell: "a1", StartedAt: published[0].StartedAt},
			{Address: "127.0.0.2:80", Health: membership.Unhealthy, Weight: 100, Zone: "b"}, {Address: "127.0.0.3:80", Health: membership.Draining, Weight: 100}}
		await(want)
		changed := slices.Clone(published)
		changed[1].InFlight = 1 // only a load changes, too soon after the last version
		if err := v.Publish(2, changed); err != nil || v.version != 1 {
			t.Errorf("version %d, %v", v.version, err)
		}
		changed[1].Health = membership.Healthy
		if err := v.Publish(3, changed[:2]); err != nil {
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
