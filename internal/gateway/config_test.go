package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"hollymast/internal/attempt"
	"hollymast/internal/inifile"
)

// The balancer assumes the same maximum delay for writing a load command as for any other call.
func TestMaxCommandDelay(t *testing.T) {
	in, err := inifile.Parse("test.ini", fmt.Appendf(nil, testSettings, "workers.ini"))
	if err != nil {
		t.Fatal(err)
	}
	config, err := ParseConfig(in)
	if err != nil {
		t.Fatal(err)
	}
	if maxDelay := attempt.MaxEndpointsAge(micros(config.GracePeriod)); config.Deployment.MaxCommandDelay != maxDelay || maxDelay == 0 {
		t.Errorf("got %d, want %d", config.Deployment.MaxCommandDelay, maxDelay)
	}
}

// Every problem in the TLS sections is reported.
func TestInvalidTLSSections(t *testing.T) {
	f, err := inifile.Parse("r.ini", []byte(`[router]
list = workers.ini
[workload any]
[function *]
[tls workers]
certificate = a
[tls clients]
authorities = b
sds = 10.0.0.1:1
[tls xds]
authorities = a
[tls others]
authorities = a
`))
	if err != nil {
		t.Fatal(err)
	}
	_, err = ParseConfig(f)
	for _, want := range []string{"r.ini:5: [tls workers] key:", "r.ini:5: [tls workers] authorities:", "[tls clients] certificate:", "[tls clients] sds: 10.0.0.1", "[tls clients] sds: keys come", "[tls xds]", "[tls others]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not contain %q", err, want)
		}
	}
}

// A reload names the settings that need a restart: none if nothing or only the log level has changed.
func TestChangesNeedingRestart(t *testing.T) {
	parse := func(old, changed string) *Config {
		text := strings.Replace(fmt.Sprintf(testSettings, "workers.ini"), old, changed, 1)
		in, err := inifile.Parse("test.ini", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		config, err := ParseConfig(in)
		if err != nil {
			t.Fatal(err)
		}
		return config
	}
	before := parse("", "")
	for _, c := range []struct {
		old, changed string
		want         []string
	}{
		{"", "", nil},
		{"seed = 1", "seed = 1\nlog = debug", nil},
		{"connections = 300", "connections = 301", []string{"MaxClientConns"}},
		{"workers.ini", "others.ini", []string{"EndpointFile"}},
	} {
		if got := ChangesNeedingRestart(before, parse(c.old, c.changed)); !slices.Equal(got, c.want) {
			t.Errorf("%q instead of %q: got %q, want %q", c.changed, c.old, got, c.want)
		}
	}
}
