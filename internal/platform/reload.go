package platform

import (
	"context"
	"os"
	"time"
)

// Reload takes in a new configuration: where the notice board is. The rest needs a restart.
func (r *Router) Reload(config *Config) { r.discovery.SetAddress(config.DiscoveryAddress) }

// Between two tries to read a configuration: first about as long as a file takes to be written, then less often, for one that
// stays broken.
const firstReread, longestReread = 20 * time.Millisecond, time.Second

// ReloadOn reads the configuration again at each signal. Until it can be read, as when it is half written, the old one stands
// and it is tried again.
func (r *Router) ReloadOn(ctx context.Context, signals <-chan os.Signal, env Environment) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for pause, lastError := firstReread, ""; ; pause = min(2*pause, longestReread) {
			config, err := LoadConfig(env)
			if err == nil {
				r.Reload(config)
				r.log.Info().Str("board", config.DiscoveryAddress).Msg("reloaded")
				break
			}
			if err.Error() != lastError { // once for each fault
				lastError = err.Error()
				r.log.Error().Err(err).Msg("configuration refused: the old one stands, and it is read again")
			}
			select {
			case <-ctx.Done():
				return
			case <-signals:
				pause = firstReread / 2
			case <-time.After(pause):
			}
		}
	}
}
