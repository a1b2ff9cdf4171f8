package gateway

import (
	"context"
	"encoding/json"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"hollymast/control"
	"hollymast/internal/explain"
	"hollymast/internal/golden"
	"hollymast/internal/record"
	"hollymast/internal/replay"
	"hollymast/internal/rest"
)

// Scripts read /router/state: its names stay the same.
func TestStateJSON(t *testing.T) {
	view := &adminState{}
	golden.Fill(view)
	golden.Check(t, "output-1.json", view, json.Marshal, json.Unmarshal)
	if missing := golden.UntaggedFields(reflect.TypeOf(view)); len(missing) > 0 {
		t.Errorf("told under the name of a field: %q", missing)
	}
}

// Operators read the state, and start and stop a recording, while requests are served.
func TestAdminCalls(t *testing.T) {
	tg := newTestGateway(t, serverOptions(0))
	tg.call("1", "forecast-1", time.Second)
	dir := filepath.Join(t.TempDir(), "rec")
	for _, c := range []struct {
		method, target string
		status         int
	}{{"GET", "/router/state", 200}, {"GET", "/router/snapshot", 200}, {"POST", "/router/record/stop", 409},
		{"POST", "/router/record/start?folder=" + dir, 200}, {"POST", "/router/record/start?folder=" + dir, 409}, {"POST", "/router/nothing", 404}} {
		c2, err := rest.Dial(context.Background(), tg.gateway.AdminAddress(), &rest.DefaultLimits)
		if err != nil {
			t.Fatal(err)
		}
		resp, _, err := c2.Do(&rest.Request{Method: c.method, Target: c.target, Header: rest.Header{"Host": {"a"}}}, time.Now().Add(5*time.Second))
		c2.Close()
		if err != nil || resp.Status != c.status {
			t.Fatalf("%s: %+v, %v", c.target, resp, err)
		}
		if strings.HasSuffix(c.target, "state") && gjson.GetBytes(resp.Body, "Module.Servers.0.Listing.State").Int() != int64(control.Ready) {
			t.Errorf("got %s", resp.Body)
		}
		if last := gjson.GetBytes(resp.Body, "Last.0.Decision").String(); strings.HasSuffix(c.target, "state") && !strings.HasPrefix(last, "send job 1, execution 0") {
			t.Errorf("the first decision: %q", last)
		}
	}
	tg.call("second", "forecast-1", time.Second)
	tg.stop()
	if err := <-tg.ended; err != nil {
		t.Fatal(err)
	}
	tg.ended <- nil
	files, err := record.ListSegments(dir)
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	if a, err := replay.Play(files, replay.Options{}); err != nil || a.Commands == 0 {
		t.Errorf("%+v, %v", a, err)
	}
	if j, err := explain.FindRequest(files, record.KeyedHash("", "second")); err != nil || j != 2 {
		t.Errorf("the second request is request %d, %v", j, err)
	}
}
