// Package recorder defines the events and fields of log lines and writes the lines without blocking
// the caller. Lines wait in a bounded queue. Lines beyond a rate limit are dropped and counted,
// those below the warning level first.
package recorder

// Events. Each is the message of a log line.
const (
	// EventRequest reports how one request was answered. Ordinary successes are only counted.
	EventRequest = "request"
	// EventRequests counts the requests of an interval by route and outcome.
	EventRequests = "requests"
	// EventUnauthorized reports a request without the key of a customer on a route that is not public.
	EventUnauthorized = "request unauthorized"
	// EventServerAvailable reports that a backend server accepts requests.
	EventServerAvailable = "server taken in"
	// EventServerGone reports that a backend server no longer accepts requests.
	EventServerGone = "server gone"
	// EventServerOverCap reports that a backend server reset a new connection, because it accepts no more.
	EventServerOverCap = "server resets new connections"
	// EventServerUnreachable reports that a backend server could not be reached or that its
	// connection broke.
	EventServerUnreachable = "server unreachable"
	// EventServerReached reports that an unreachable backend server answered again.
	EventServerReached = "server reached again"
	// EventServerSlow reports that a backend server is much slower than the others.
	EventServerSlow = "server slow"
	// EventServerRecovered reports that a slow backend server is as fast as the others again.
	EventServerRecovered = "server recovered"
	// EventServerLimited reports that a backend server names a limit of the requests that it takes from
	// all docks together, and EventServerUnlimited that it no longer does.
	EventServerLimited   = "server limited"
	EventServerUnlimited = "server no longer limited"
	// EventServerSlowStart and EventServerFullPace are logged when a server's slow start begins and
	// when it has ended.
	EventServerSlowStart = "server in slow start"
	EventServerFullPace  = "server at full pace"
	// EventDetached reports that this dock has lost its links to all backend servers, and EventAttached
	// that it has them again.
	EventDetached = "cut off from the servers"
	EventAttached = "servers reachable again"
	// EventDocksSilent reports that docks were silent for longer than their watches wait, so that other
	// docks no longer send requests to them.
	EventDocksSilent = "docks silent"
	// EventDetachNotSent reports that a keeper was not told that this dock is cut off, or no longer is.
	EventDetachNotSent = "cut not reported"
	// EventTokensFailed reports that the leading keeper did not answer a dock's request for tokens.
	EventTokensFailed = "tokens not received"
	// EventPermitsFailed reports that the leading keeper did not answer a dock's request for permits of
	// customers' quotas.
	EventPermitsFailed = "permits not received"
	// EventPermitsStart reports that a leading keeper issues permits of customers' quotas.
	EventPermitsStart = "permits issued from now on"
	// EventServerDeparts reports that a backend server announced that it leaves or has left.
	EventServerDeparts = "server departs"
	// EventDepartureNotForwarded reports that a keeper failed to forward a departure to another
	// keeper.
	EventDepartureNotForwarded = "departure not passed on"
	// EventConfiguration reports that a dock put a configuration in force.
	EventConfiguration = "configuration in force"
	// EventConfigurationApplied reports that a keeper applied a committed configuration.
	EventConfigurationApplied = "configuration applied"
	// EventSubmitted reports the outcome of a configuration that an operator submitted.
	EventSubmitted = "configuration submitted"
	// EventConfigurationFailed reports that a dock or keeper could not get or read a configuration.
	EventConfigurationFailed = "configuration not taken"
	// EventKeeperFound and EventKeeperLost report that a dock's watch of a keeper gets replies or
	// fails.
	EventKeeperFound = "keeper found"
	EventKeeperLost  = "keeper lost"
	// EventQuorumReachable and EventQuorumUnreachable report that a majority of the keepers answers a
	// dock, or no longer does.
	EventQuorumReachable   = "in touch with the keepers"
	EventQuorumUnreachable = "out of touch with the keepers"
	// EventKeeperRestarts reports that a keeper restarts within its process.
	EventKeeperRestarts = "keeper restarts"
	// EventKeeperOutside reports that a keeper does not acknowledge servers, because it is outside of the
	// group.
	EventKeeperOutside = "keeper outside refuses servers"
	// EventAgreement reports a change in the keepers' consensus group.
	EventAgreement = "agreement"
	// EventSlowDisk reports a synced write that took long.
	EventSlowDisk = "slow disk"
	// EventCrash reports that a server ended while it ran a request. EventQuarantine reports that
	// requests with a fingerprint must not run.
	EventCrash      = "server crashed"
	EventQuarantine = "request quarantined"
	// EventInvalidParts reports that another dock's parts are not used, because a signature is malformed or comes twice.
	EventInvalidParts = "parts not used"
	// EventCrashUnconfirmed reports that a server lost a request and is not known to have crashed.
	EventCrashUnconfirmed = "crash not confirmed"
	// EventRequestsEnd reports that a stopping dock ends the requests that are still in progress.
	EventRequestsEnd = "requests in progress end"
	// EventServerLeaving reports that a backend server said in a reply that it leaves.
	EventServerLeaving = "server says that it leaves"
	// EventLeavingUnreported reports that a dock failed to tell a keeper that a server leaves.
	EventLeavingUnreported = "leaving server not reported"
	// EventServerReplaced reports that another server replied at the address of a server.
	EventServerReplaced = "server replaced"
	// EventServerEnded reports that a server ended that had not answered some requests.
	EventServerEnded = "server ended"
	// EventCrashReportLost reports that a dock could not deliver its reports on crashes.
	EventCrashReportLost = "crash reports not delivered"
	// EventCrashCounted reports that a keeper counted a crash for a fingerprint, and
	// EventSuspicionCleared that a request with the fingerprint was answered since.
	EventCrashCounted     = "crash counted"
	EventSuspicionCleared = "suspicion cleared"
	// EventQuarantineAdopted reports that a keeper learnt of a quarantine that another process
	// decided on, or that it had saved itself.
	EventQuarantineAdopted = "quarantine adopted"
	// EventQuarantinesUnread and EventQuarantinesUnsaved report that a keeper could not read or save
	// its quarantines.
	EventQuarantinesUnread  = "quarantines not read"
	EventQuarantinesUnsaved = "quarantines not saved"
	// EventBatch reports shards whose results this dock did not gather in time for another dock.
	EventBatch = "batch"
	// EventOwners reports the number of services to which this dock sends on behalf of other docks.
	EventOwners = "owned services"
	// EventClientsRefused counts the clients that were refused or closed because of their number, their memory or their
	// slowness, every 10 s at most.
	EventClientsRefused = "clients refused or closed"
	// EventReadinessOff reports that a stopping dock accepts no new callers.
	EventReadinessOff = "readiness off"
	// EventDirectoryUnread and EventDirectoryUnsaved report that a keeper could not read or save its
	// directory file.
	EventDirectoryUnread  = "directory not read"
	EventDirectoryUnsaved = "directory not saved"
	// EventEvacuationOrdered reports the outcome of an operator's order to evacuate a failure domain, or to
	// withdraw that.
	EventEvacuationOrdered = "evacuation ordered"
	// EventEvacuations reports the evacuated failure domains that a dock or a keeper knows from now on.
	EventEvacuations = "evacuated failure domains"
	// EventCommandsUnsaved reports that a keeper could not save which commands the other keepers know.
	EventCommandsUnsaved = "known commands not saved"
	// EventDropped counts log lines that were dropped.
	EventDropped = "log lines dropped"
)

// Fields of lines.
const (
	// FieldRequest is the caller's identifier of the request.
	FieldRequest = "request"
	// FieldRequests lists the callers' identifiers of several requests.
	FieldRequests = "requests"
	FieldRoute    = "route"
	FieldCustomer = "customer"
	// FieldKeyHash is a hash of a customer's key, which is never logged itself.
	FieldKeyHash = "key_hash"
	FieldService = "service"
	FieldServer  = "server"
	FieldAddress = "address"
	FieldKeeper  = "keeper"
	// FieldConfiguration is the number of the configuration on which a decision was based.
	FieldConfiguration = "configuration"
	FieldBefore        = "before"
	FieldOutcome       = "outcome"
	FieldReason        = "reason"
	FieldElapsed       = "elapsed_ms"
	FieldTimeout       = "timeout_ms"
	FieldRetryAfter    = "retry_after_ms"
	FieldPause         = "pause"
	FieldVoters        = "voters"
	// FieldMissing is the number of shards that an answer does not cover.
	FieldMissing = "missing"
	FieldShards  = "shards"
	// FieldJobs lists the attempts of each service that was not answered normally.
	FieldJobs     = "jobs"
	FieldAttempts = "attempts"
	// FieldDenied is the reason for not sending another attempt to a service: no budget or no servers
	// are left.
	FieldDenied = "denied"
	// FieldCongested, FieldReturn and FieldAdmitted are the data behind a refusal because of
	// congestion.
	FieldCongested = "congested"
	FieldReturn    = "returned"
	FieldAdmitted  = "admitted_percent"
	// FieldUse is a customer's recent use of its rate in multiples of the mean of all customers.
	FieldUse = "use"
	// FieldOwners lists the docks that did not deliver the results of all their shards. FieldOwner is
	// the host of one of them and FieldTrouble is the cause.
	FieldOwners  = "owners"
	FieldOwner   = "owner"
	FieldTrouble = "trouble"
	// FieldFellows is the number of docks in this dock's failure domain.
	FieldFellows = "fellows"
	// FieldRepeat reports whether the request was sent although an equal one was known to have
	// crashed a server.
	FieldRepeat = "repeat"
	// FieldEvidence tells how the end of a server became known, and FieldGivenUp how many requests
	// without an answer the dock had given up before.
	FieldEvidence = "evidence"
	FieldGivenUp  = "given_up"
	// FieldFingerprint is equal for requests that servers cannot distinguish from each other.
	// FieldPathFingerprint ignores the query.
	FieldFingerprint     = "fingerprint"
	FieldPathFingerprint = "path_fingerprint"
	// FieldCause is the reason for an attempt: first, hedge or retry.
	FieldCause = "cause"
	FieldAt    = "at_ms"
	// FieldScore is the expected latency, in multiples of the usual one, by which a server was
	// selected.
	FieldScore = "score"
	// FieldSeen is the age of the latest observation of the selected server, in milliseconds.
	FieldSeen     = "seen_ms_ago"
	FieldStatus   = "status"
	FieldBudget   = "budget_left"
	FieldSlowness = "slowness"
	// FieldReached is the number of servers that accepted a probe.
	FieldReached = "reached"
	// FieldRelays lists the docks that a request was handed over to.
	FieldRelays = "relays"
	// FieldLimit is the number of requests per second that a server takes from all docks together.
	FieldLimit    = "limit"
	FieldState    = "state"
	FieldSequence = "sequence"
	FieldBorn     = "born"
	// FieldAnyStart is set for the departure of a server that names no start. FieldBorn is then the latest
	// start to which it applies.
	FieldAnyStart = "any_start"
	FieldOrigin   = "origin"
	FieldEvent    = "event"
	FieldTerm     = "term"
	FieldIndex    = "index"
	FieldMember   = "member"
	FieldDetail   = "detail"
	FieldCount    = "count"
	// FieldClients names the address whose clients a line is about: "callers" or "control". The next four are numbers
	// of requests refused for lack of memory, of clients that were too slow, of stalled transfers that were ended to make
	// room, and of connections that were refused or closed.
	FieldClients     = "clients"
	FieldRefused     = "refused"
	FieldSlow        = "slow"
	FieldEvicted     = "evicted"
	FieldConnections = "connections"
	// FieldDomain is a failure domain, and FieldDomains lists several. FieldWithdrawn is set for an order that
	// withdraws an evacuation.
	FieldDomain    = "failure_domain"
	FieldDomains   = "failure_domains"
	FieldWithdrawn = "withdrawn"
	FieldCounts    = "counts"
)
