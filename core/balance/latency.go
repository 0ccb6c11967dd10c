package balance

import "time"

// Latency returns the average latency of a server's last responses, 0 if
// there was none.
func (b *Balancer) Latency(name string) time.Duration {
	s := b.byName[name]
	if s == nil {
		return 0
	}
	return time.Duration(s.latencySeconds * float64(time.Second))
}
