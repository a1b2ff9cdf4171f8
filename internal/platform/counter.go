package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// counter counts events by kind between two state log lines. It is safe for concurrent use.
type counter[Kind interface {
	comparable
	fmt.Stringer
}] struct {
	mu     sync.Mutex
	counts map[Kind]int
}

// add counts one event of a kind.
func (c *counter[Kind]) add(kind Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Kind]int{}
	}
	c.counts[kind]++
}

// take returns the counts as text, sorted by that text, and resets them.
func (c *counter[Kind]) take() string {
	c.mu.Lock()
	counts := c.counts
	c.counts = nil
	c.mu.Unlock()
	parts := make([]string, 0, len(counts))
	for kind, n := range counts {
		parts = append(parts, fmt.Sprintf("%v: %d", kind, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}
