// Package recorder names the events and fields of the log and writes log lines without ever
// holding up who logs: lines wait in a bounded queue, and beyond a rate they are dropped and
// counted, ordinary ones before failures.
package recorder

// Events, as the message of a line.
const (
	// EventRequest tells how one request was answered. Ordinary successes are only counted.
	EventRequest = "request"
	// EventRequests counts the requests of an interval by route and outcome.
	EventRequests = "requests"
	// EventServerTaken tells that a backend server takes work.
	EventServerTaken = "server taken in"
	// EventServerGone tells that a backend server takes no more work.
	EventServerGone = "server gone"
	// EventServerUnreachable tells that a backend server could not be reached or broke off.
	EventServerUnreachable = "server unreachable"
	// EventServerReached tells that an unreachable backend server answered again.
	EventServerReached = "server reached again"
	// EventServerSlow tells that a backend server is much slower than the others.
	EventServerSlow = "server slow"
	// EventServerRecovered tells that a slow backend server is as fast as the others.
	EventServerRecovered = "server recovered"
	// EventServerDeparts tells that a backend server said that it leaves, or has left.
	EventServerDeparts = "server departs"
	// EventDepartureUntold tells that a keeper did not pass a departure on to another one.
	EventDepartureUntold = "departure not passed on"
	// EventConfiguration tells that a dock has a configuration in force.
	EventConfiguration = "configuration in force"
	// EventConfigurationApplied tells that a keeper applied a committed configuration.
	EventConfigurationApplied = "configuration applied"
	// EventSubmitted tells what became of a configuration that an operator sent.
	EventSubmitted = "configuration submitted"
	// EventConfigurationFailed tells that a dock could not get or read a configuration.
	EventConfigurationFailed = "configuration not taken"
	// EventKeeperFound and EventKeeperLost tell of a dock's watch of a keeper.
	EventKeeperFound = "keeper found"
	EventKeeperLost  = "keeper lost"
	// EventFresh and EventNotFresh tell whether a majority of the keepers answers a dock.
	EventFresh    = "in touch with the keepers"
	EventNotFresh = "out of touch with the keepers"
	// EventKeeperRestarts tells that a keeper starts anew within its process.
	EventKeeperRestarts = "keeper restarts"
	// EventAgreement tells a change in the keepers' agreement.
	EventAgreement = "agreement"
	// EventSlowDisk tells of a synced write that took long.
	EventSlowDisk = "slow disk"
	// EventCrash tells that a server ended while it ran a request, EventQuarantine that requests
	// with a fingerprint must not run.
	EventCrash      = "server crashed"
	EventQuarantine = "request quarantined"
	// EventBatch tells of shards whose parts this dock did not get for another one in time.
	EventBatch = "batch"
	// EventOwners tells which services other docks leave to this one.
	EventOwners = "owned services"
	// EventReadinessOff tells that a dock that stops takes no new callers.
	EventReadinessOff = "readiness off"
	// EventDirectoryUnread and EventDirectoryUnsaved tell of a keeper's file of the directory.
	EventDirectoryUnread  = "directory not read"
	EventDirectoryUnsaved = "directory not saved"
	// EventDropped counts log lines that were dropped.
	EventDropped = "log lines dropped"
)

// Fields of lines.
const (
	// FieldRequest is the caller's identifier of the request.
	FieldRequest = "request"
	FieldRoute   = "route"
	FieldService = "service"
	FieldServer  = "server"
	FieldAddress = "address"
	FieldKeeper  = "keeper"
	// FieldConfiguration is the number of the configuration that a decision rested on.
	FieldConfiguration = "configuration"
	FieldBefore        = "before"
	FieldOutcome       = "outcome"
	FieldReason        = "reason"
	FieldElapsed       = "elapsed_ms"
	FieldTimeout       = "timeout_ms"
	FieldRetryAfter    = "retry_after_ms"
	FieldPause         = "pause"
	FieldVoters        = "voters"
	// FieldMissing is the number of shards that an answer leaves out.
	FieldMissing = "missing"
	FieldShards  = "shards"
	// FieldJobs lists, for each service that was not plainly answered, its attempts.
	FieldJobs     = "jobs"
	FieldAttempts = "attempts"
	// FieldDenied says why a service was not asked once more: for want of budget or servers.
	FieldDenied = "denied"
	// FieldCongested, FieldReturn and FieldAdmitted are what a refusal for congestion rested on.
	FieldCongested = "congested"
	FieldReturn    = "returned"
	FieldAdmitted  = "admitted_percent"
	// FieldOwners lists the docks that did not deliver all parts, FieldOwner is the host of one
	// and FieldTrouble what was wrong with it.
	FieldOwners  = "owners"
	FieldOwner   = "owner"
	FieldTrouble = "trouble"
	// FieldFellows is the number of docks in this one's failure domain.
	FieldFellows = "fellows"
	// FieldFingerprint is equal for requests that servers cannot tell from each other.
	FieldFingerprint = "fingerprint"
	// FieldCause says why an attempt was made: first, hedge or retry.
	FieldCause = "cause"
	FieldAt    = "at_ms"
	// FieldScore is the expected latency that the choice of a server rested on, in multiples
	// of the usual.
	FieldScore = "score"
	// FieldSeen is how old the latest observation of the chosen server was.
	FieldSeen     = "seen_ms_ago"
	FieldStatus   = "status"
	FieldBudget   = "budget_left"
	FieldSlowness = "slowness"
	FieldState    = "state"
	FieldSequence = "sequence"
	FieldBorn     = "born"
	FieldOrigin   = "origin"
	FieldEvent    = "event"
	FieldTerm     = "term"
	FieldIndex    = "index"
	FieldMember   = "member"
	FieldDetail   = "detail"
	FieldCount    = "count"
	FieldCounts   = "counts"
)
