package platform

import (
	"context"
	"os"
	"time"
)

// Reload applies a changed configuration. Only the address of the discovery service is applied; every other change
// needs a restart.
func (r *Router) Reload(config *Config) { r.discovery.SetAddress(config.DiscoveryAddress) }

// minRereadPause and maxRereadPause bound the pause between two attempts to read the configuration: the first pause
// is about as long as writing the file takes, and it doubles if the file stays invalid.
const minRereadPause, maxRereadPause = 20 * time.Millisecond, time.Second

// ReloadOn reloads the configuration on each signal until ctx ends. While the file can't be read, for example because
// it is only partly written, the old configuration stays in use and reading is retried.
func (r *Router) ReloadOn(ctx context.Context, signals <-chan os.Signal, env Environment) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for pause, lastError := minRereadPause, ""; ; pause = min(2*pause, maxRereadPause) {
			config, err := LoadConfig(env)
			if err == nil {
				r.Reload(config)
				r.log.Info().Str("board", config.DiscoveryAddress).Msg("reloaded")
				break
			}
			if err.Error() != lastError { // log each distinct error once
				lastError = err.Error()
				r.log.Error().Err(err).Msg("invalid configuration: keeping the old one and retrying")
			}
			select {
			case <-ctx.Done():
				return
			case <-signals:
				pause = minRereadPause / 2
			case <-time.After(pause):
			}
		}
	}
}
