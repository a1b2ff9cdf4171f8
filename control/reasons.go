package control

// Reason is the condition that determined a decision, as the explanation of a recording and the trace log show it.
type Reason string

// The reasons of decisions, in the order in which Route checks them.
const (
	reasonAttemptInFlight  Reason = "an attempt is in flight"
	reasonRetryTooLate     Reason = "it had an attempt and has no slack left"
	reasonOverQuota        Reason = "its tenant is over quota, or it was shed"
	reasonDeadlineTooClose Reason = "it can't end before its deadline"
	reasonNoAttemptsLeft   Reason = "it had all its attempts"
	reasonMayHaveRun       Reason = "an earlier attempt may have run"
	reasonFunctionBlocked  Reason = "another request for its function found no instance in this step"
	reasonQueueTooLong     Reason = "the queue at its instance would make it late"
	reasonFullestInstance  Reason = "the fullest instance with room"
	reasonReplicaDue       Reason = "the last replica check asked for another replica"
	reasonReplicasFull     Reason = "its replicas are full, and it has no slack"
	reasonNoReplica        Reason = "no replica is loaded or loading"
	reasonAwaitsReplica    Reason = "it waits for a replica"
)

// UnusableReason says why a request may not go to a server; empty: it may.
type UnusableReason string

// The reasons why a request may not go to a server.
const (
	unusableNotReady  UnusableReason = "draining or removed"
	unusableBackoff   UnusableReason = "rejected a request or failed lately"
	unusableEjected   UnusableReason = "ejected, and no probe request is due"
	unusableNoRetry   UnusableReason = "outside the request's group or window for retries"
	unusableSlowStart UnusableReason = "in slow start, and its budget is used up"
)
