package control

import "cmp"

// This file decides which of a tenant's requests exceed its quota.

// exceedsQuota reports whether a request exceeds its tenant's quota, as far as this router sees. A request is charged
// to the quota unless the tenant is already more than 2 s in debt; it then exceeds the quota if its deadline is short
// and it may be a retry. This guards against clients that give up before the latency objective and retry at once: their
// earlier attempts run on and take capacity from the other tenants. Its drawback: it hurts a tenant with short
// deadlines whose requests reach only a few of the routers.
func (b *Balancer) exceedsQuota(now Micros, req *Request) bool {
	if int(req.Tenant) >= len(b.deployment.Quotas) {
		return false
	}
	debtUntil := max(now, b.quotaDebt[req.Tenant])
	if debtUntil > now+2_000_000 { // allows for clients that are spread unevenly over routers and seconds
		// First attempts are exempt where they can be told apart.
		mayBeRetry := req.IsRetry || req.RetriesUnmarked || !b.deployment.ClientsMarkRetries
		return mayBeRetry && req.Deadline-req.ArrivedAt < b.deployment.Classes[req.Class].LatencyObjective
	}
	b.quotaDebt[req.Tenant] = debtUntil +
		Micros(1e6*float64(b.deployment.Routers)/max(0.01, b.deployment.Quotas[req.Tenant]))
	return false
}

// firstSentAt estimates when the client first sent the request, so that retries, marked or not, don't take the place of
// requests that can still be in time. A timeout that is shorter than usual is assumed to be what earlier attempts have
// left of the usual one. This hurts clients whose timeouts are short by design, so for clients that mark retries only
// the mark counts.
func (b *Balancer) firstSentAt(now Micros, req *Request) Micros {
	usualTimeouts, timeout := &b.timeouts[req.Class], cmp.Or(req.Timeout, req.Deadline-now)
	usualTimeouts.add(now, timeout)
	// The margin of 30 ms exceeds the transit time of a request, which is a few milliseconds.
	if (!b.deployment.ClientsMarkRetries || req.RetriesUnmarked) && timeout < quantile(usualTimeouts.since(0), 0.8)-30_000 {
		return min(req.ArrivedAt, req.Deadline-b.deployment.Classes[req.Class].MaxDeadline)
	}
	return req.ArrivedAt
}
