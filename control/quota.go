package control

// Quotas: what of a tenant's requests lies beyond its share.

// exceedsQuota tells whether a hasty job lies beyond its tenant's told share, as far as this router sees. Guards
// against clients that wait less than the start target and ask again at once: their tries run on without them
// and take the place of the rest. It harms a hasty tenant whose jobs come to few of the routers.
func (r *Balancer) exceedsQuota(now Micros, j *Request) bool {
	if int(j.Tenant) >= len(r.deployment.Quotas) {
		return false
	}
	due := max(now, r.quotaDebt[j.Tenant])
	if due > now+2_000_000 { // clients are spread unevenly over routers and seconds
		again := j.IsRetry || j.RetriesUnmarked || !r.deployment.MarksRetries // first tries are innocent, where they can be told
		return again && j.Deadline-j.ArrivedAt < r.deployment.Classes[j.Class].LatencyObjective
	}
	r.quotaDebt[j.Tenant] = due + Micros(1e6*float64(r.deployment.Routers)/max(0.01, r.deployment.Quotas[j.Tenant]))
	return false
}

// firstSentAt is when the client first asked. Guards against later tries, marked or not, that take the place of
// jobs that can still be in time: a patience shorter than usual is what earlier tries have left. It harms
// clients that are hasty by nature, so from clients that mark repeats only the mark counts.
func (r *Balancer) firstSentAt(now Micros, j *Request) Micros {
	usual, patience := &r.deadlines[j.Class], j.Deadline-now
	usual.add(now, patience)
	if (!r.deployment.MarksRetries || j.RetriesUnmarked) && patience < quantile(usual.since(0), 0.8)-30_000 { // the way here: a few ms
		return min(j.ArrivedAt, j.Deadline-r.deployment.Classes[j.Class].MaxDeadline)
	}
	return j.ArrivedAt
}
