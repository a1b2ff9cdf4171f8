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

// The JSON names of /router/state stay the same, since scripts read them.
func TestStateJSON(t *testing.T) {
	state := &adminState{}
	golden.Fill(state)
	golden.Check(t, "output-1.json", state, json.Marshal, json.Unmarshal)
	if missing := golden.UntaggedFields(reflect.TypeOf(state)); len(missing) > 0 {
		t.Errorf("fields without a JSON name: %q", missing)
	}
}

// The state can be read, and a recording started and stopped, while requests are served.
func TestAdminCalls(t *testing.T) {
	tg := newTestGateway(t, serverConfig(0))
	tg.call("1", "forecast-1", time.Second)
	dir := filepath.Join(t.TempDir(), "rec")
	for _, c := range []struct {
		method, target string
		status         int
	}{{"GET", "/router/state", 200}, {"GET", "/router/snapshot", 200}, {"POST", "/router/record/stop", 409},
		{"POST", "/router/record/start?folder=" + dir, 200}, {"POST", "/router/record/start?folder=" + dir, 409}, {"POST", "/router/nothing", 404}} {
		client, err := rest.Dial(context.Background(), tg.gateway.AdminAddress(), &rest.DefaultLimits)
		if err != nil {
			t.Fatal(err)
		}
		resp, _, err := client.Do(&rest.Request{Method: c.method, Target: c.target, Header: rest.Header{"Host": {"a"}}}, time.Now().Add(5*time.Second))
		client.Close()
		if err != nil || resp.Status != c.status {
			t.Fatalf("%s: %+v, %v", c.target, resp, err)
		}
		if strings.HasSuffix(c.target, "state") && gjson.GetBytes(resp.Body, "Module.Servers.0.Listing.State").Int() != int64(control.Ready) {
			t.Errorf("got %s", resp.Body)
		}
		if last := gjson.GetBytes(resp.Body, "Last.0.Decision").String(); strings.HasSuffix(c.target, "state") && !strings.HasPrefix(last, "send job 1, execution 0") {
			t.Errorf("first decision: %q", last)
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
	if result, err := replay.Play(files, replay.Options{}); err != nil || result.Commands == 0 {
		t.Errorf("%+v, %v", result, err)
	}
	if id, err := explain.FindRequest(files, record.KeyedHash("", "second")); err != nil || id != 2 {
		t.Errorf("the second request has id %d, %v", id, err)
	}
}
