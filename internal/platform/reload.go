package platform

import (
	"context"
	"os"
	"time"
)

// Reload takes in a new configuration: where the notice board is. The rest needs a restart.
func (p *Router) Reload(told *Config) { p.discovery.SetAddress(told.DiscoveryAddress) }

// Between two tries to read a configuration: first about as long as a file takes to be written, then less often, for one that
// stays broken.
const firstReread, longestReread = 20 * time.Millisecond, time.Second

// ReloadOn reads the configuration again at each signal. Until it can be read, as when it is half written, the old one stands
// and it is tried again.
func (p *Router) ReloadOn(ctx context.Context, signals <-chan os.Signal, env Environment) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		for pause, failed := firstReread, ""; ; pause = min(2*pause, longestReread) {
			fresh, err := LoadConfig(env)
			if err == nil {
				p.Reload(fresh)
				p.log.Info().Str("board", fresh.DiscoveryAddress).Msg("reloaded")
				break
			}
			if err.Error() != failed { // once for each fault
				failed = err.Error()
				p.log.Error().Err(err).Msg("configuration refused: the old one stands, and it is read again")
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
