package platform

import (
	"context"
	"os"
	"time"
)

// Reload applies a changed configuration: the address of the discovery service. Everything else needs a restart.
func (r *Router) Reload(config *Config) { r.discovery.SetAddress(config.DiscoveryAddress) }

// minRereadPause and maxRereadPause bound the pause between two attempts to read a configuration: at first about as long
// as a file takes to be written, then doubled, for one that stays broken.
const minRereadPause, maxRereadPause = 20 * time.Millisecond, time.Second

// ReloadOn reloads the configuration at each signal, until ctx ends. While it can't be read, as when it is half
// written, the old one stays in force and reading is retried.
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
				r.log.Error().Err(err).Msg("invalid configuration: the old one stays in force, reading is retried")
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
