package chaostest

import (
	"context"
	"fmt"
	"path/filepath"
)

// measurePersistence measures pairs of streams, one through a router that persists its state and one through the plain router.
// Both routers run until the test ends, and each is idle while the other is measured.
func (run *loadRun) measurePersistence(ctx context.Context) error {
	config := loadRouterConfig{name: "remembering", number: 1, endpoints: run.endpointsFile(),
		extraSections: fmt.Sprintf("[memory]\nfolder = %s\nevery = 1s\n", filepath.Join(run.dir, "memory"))}
	router, err := run.startRouter(ctx, config)
	if err != nil {
		return err
	}
	if err := run.warmUp(ctx, router); err != nil {
		return err
	}
	ratios, err := measurePairs(run.PersistencePairs, func(int) (LoadResult, error) {
		return run.measure(ctx, "router, memory", run.LoadTest, router)
	}, func(int) (LoadResult, error) {
		return run.measure(ctx, "router", run.LoadTest, run.plain)
	})
	if err != nil {
		return err
	}
	run.lastResult().Ratios = ratios
	return nil
}
