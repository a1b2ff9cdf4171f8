package control

// This file decides which of a tenant's requests exceed its quota.

// exceedsQuota reports whether a request with a short deadline exceeds its tenant's configured quota, as far as
// this router sees, and otherwise charges the request to the quota unless that is 2 s in debt. It guards against
// clients that give up before the latency objective and retry at once: their earlier attempts run on and take
// capacity from the other tenants. The cost: it hurts a tenant with short deadlines whose requests reach only a few
// of the routers.
func (r *Balancer) exceedsQuota(now Micros, j *Request) bool {
	if int(j.Tenant) >= len(r.deployment.Quotas) {
		return false
	}
	due := max(now, r.quotaDebt[j.Tenant])
	if due > now+2_000_000 { // clients are spread unevenly over routers and seconds
		again := j.IsRetry || j.RetriesUnmarked || !r.deployment.MarksRetries // first attempts are exempt where they can be told apart
		return again && j.Deadline-j.ArrivedAt < r.deployment.Classes[j.Class].LatencyObjective
	}
	r.quotaDebt[j.Tenant] = due + Micros(1e6*float64(r.deployment.Routers)/max(0.01, r.deployment.Quotas[j.Tenant]))
	return false
}

// firstSentAt returns when the client first sent the request. It guards against retries, marked or not, that take
// the place of requests that can still be in time: a deadline shorter than usual is what earlier attempts have
// left. The cost: it hurts clients whose deadlines are short by design, so for clients that mark retries only the
// mark counts.
func (r *Balancer) firstSentAt(now Micros, j *Request) Micros {
	usual, patience := &r.deadlines[j.Class], j.Deadline-now
	usual.add(now, patience)
	// The 30 ms tolerate the time on the way here, a few milliseconds.
	if (!r.deployment.MarksRetries || j.RetriesUnmarked) && patience < quantile(usual.since(0), 0.8)-30_000 {
		return min(j.ArrivedAt, j.Deadline-r.deployment.Classes[j.Class].MaxDeadline)
	}
	return j.ArrivedAt
}
