package chaostest

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"hollymast/internal/rest"
)

// loadRouterConfig holds the settings that differ between the routers of a load test.
type loadRouterConfig struct {
	name          string // base name of its files
	number        int    // in error messages
	endpoints     string // file of the endpoint list
	admin         string // address of the admin interface; empty: none
	extraSections string // sections to append to the configuration
	handshake     rest.Handshake
}

// startRouter starts a router and waits until it is ready.
func (run *loadRun) startRouter(ctx context.Context, config loadRouterConfig) (*routerProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	r := &routerProcess{number: config.number, address: address, handshake: config.handshake, configFile: filepath.Join(run.dir, config.name+".ini"),
		logName: filepath.Join(run.dir, config.name+".log")}
	if err := os.WriteFile(r.configFile, config.file(address), 0o600); err != nil {
		return nil, err
	}
	if err := r.start(run.program); err != nil {
		return nil, err
	}
	run.routers = append(run.routers, r)
	return r, r.awaitReady(ctx)
}

// file returns the content of the router's configuration file. Its limits are higher than the streams need.
func (config loadRouterConfig) file(address string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[router]\nlisten = %s\n", address)
	if config.admin != "" {
		fmt.Fprintf(&b, "admin = %s\n", config.admin)
	}
	fmt.Fprintf(&b, `list = %s
log = warn
[servers]
orders = no
[bounds]
per_server = 4096
[workload any]
start_target = 1s
effect = restartable
[function *]
workload = any
lanes = 1024
`, config.endpoints)
	b.WriteString(config.extraSections)
	return b.Bytes()
}

const adminTimeout = 10 * time.Second

// callAdmin sends a POST request to a router's admin interface.
func callAdmin(ctx context.Context, admin, target string) error {
	c, err := rest.Dial(ctx, admin, &rest.DefaultLimits)
	if err != nil {
		return err
	}
	defer c.Close()
	res, _, err := c.Do(&rest.Request{Method: http.MethodPost, Target: target, Header: rest.Header{"Host": {admin}}}, time.Now().Add(adminTimeout))
	if err == nil && res.Status != http.StatusOK {
		err = fmt.Errorf("admin request failed with status %d: %s", res.Status, res.Body)
	}
	return err
}
