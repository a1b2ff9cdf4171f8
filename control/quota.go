package control

import "cmp"

// This file decides which of a tenant's requests exceed its quota.

// exceedsQuota reports whether a request with a short deadline exceeds its tenant's configured quota, as far as
// this router sees, and otherwise charges the request to the quota unless that is 2 s in debt. It guards against
// clients that give up before the latency objective and retry at once: their earlier attempts run on and take
// capacity from the other tenants. The cost: it hurts a tenant with short deadlines whose requests reach only a few
// of the routers.
func (b *Balancer) exceedsQuota(now Micros, req *Request) bool {
	if int(req.Tenant) >= len(b.deployment.Quotas) {
		return false
	}
	debtUntil := max(now, b.quotaDebt[req.Tenant])
	if debtUntil > now+2_000_000 { // clients are spread unevenly over routers and seconds
		// First attempts are exempt where they can be told apart.
		mayBeRetry := req.IsRetry || req.RetriesUnmarked || !b.deployment.ClientsMarkRetries
		return mayBeRetry && req.Deadline-req.ArrivedAt < b.deployment.Classes[req.Class].LatencyObjective
	}
	b.quotaDebt[req.Tenant] = debtUntil +
		Micros(1e6*float64(b.deployment.Routers)/max(0.01, b.deployment.Quotas[req.Tenant]))
	return false
}

// firstSentAt returns when the client first sent the request. It guards against retries, marked or not, that take
// the place of requests that can still be in time: a deadline shorter than usual is what earlier attempts have
// left. The cost: it hurts clients whose deadlines are short by design, so for clients that mark retries only the
// mark counts.
func (b *Balancer) firstSentAt(now Micros, req *Request) Micros {
	usualTimeouts, timeout := &b.deadlines[req.Class], cmp.Or(req.Timeout, req.Deadline-now)
	usualTimeouts.add(now, timeout)
	// The 30 ms tolerate the time on the way here, a few milliseconds.
	if (!b.deployment.ClientsMarkRetries || req.RetriesUnmarked) && timeout < quantile(usualTimeouts.since(0), 0.8)-30_000 {
		return min(req.ArrivedAt, req.Deadline-b.deployment.Classes[req.Class].MaxDeadline)
	}
	return req.ArrivedAt
}
