// Package logevent defines the events that the processes log and the fields that several
// events share. docs/OPERATIONS.md explains each of them.
package logevent

// Event is the message of a structured log line.
type Event = string

// Start and stop of a process.
const (
	Build        Event = "Build" // building the application failed
	Start        Event = "Start" // starting the application failed
	Started      Event = "Started"
	Reloaded     Event = "Reloaded"     // the settings file was reloaded
	ReloadFailed Event = "ReloadFailed" // the settings file is invalid; the old settings stay
	Stopping     Event = "Stopping"
	StopForced   Event = "StopForced" // a second signal shortened the stop
	Stop         Event = "Stop"       // stopping failed or took too long
	Stopped      Event = "Stopped"
)

// Requests at a router.
const (
	RequestSent       Event = "RequestSent" // an attempt was sent to a target
	AttemptEnded      Event = "AttemptEnded"
	RequestRefused    Event = "RequestRefused"
	SourceBackedOff   Event = "SourceBackedOff"   // answers came late or broke off whose target was asked to fetch a part from this source
	HedgeRefused      Event = "HedgeRefused"      // a slow attempt gets no second one beside it
	HedgeEnded        Event = "HedgeEnded"        // a request with two attempts at once ended
	ConnectionEnded   Event = "ConnectionEnded"   // the peer of a connection exceeded a limit
	LedgerBeginFailed Event = "LedgerBeginFailed" // control did not record the start of a run-once call
	LedgerEndFailed   Event = "LedgerEndFailed"   // control did not record the end of a run-once call
)

// Configuration, load, and connections to other processes.
const (
	ConfigInForce     Event = "ConfigInForce"     // another configuration took effect
	ConfigUnconfirmed Event = "ConfigUnconfirmed" // control did not confirm the configuration in force
	ConfigFetchFailed Event = "ConfigFetchFailed" // control announced a configuration, but the router could not fetch it
	StateNoticed      Event = "StateNoticed"      // control notified the router of a newer revision
	RolloutApplied    Event = "RolloutApplied"    // the router applies another state of a roll-out
	ControlJoined     Event = "ControlJoined"     // the router follows a control host
	ControlLost       Event = "ControlLost"       // the connection to a control host was lost
	JoinFailed        Event = "JoinFailed"        // a control host did not accept this process as a follower
	FollowerJoined    Event = "FollowerJoined"    // a process follows this control host
	CallersSpread     Event = "CallersSpread"     // the router started or stopped redirecting callers because of its load
	LoadUnknown       Event = "LoadUnknown"       // the router's CPU time can't be read
	ProcessorDelayed  Event = "ProcessorDelayed"  // work waited for the processor
	FollowerLeft      Event = "FollowerLeft"
	RouterReduced     Event = "RouterReduced"    // a router began or ended to give up callers because its connections run out
	CrowdMoved        Event = "CrowdMoved"       // a router began or ended to be not ready so that its callers move
	CrowdsMoved       Event = "CrowdsMoved"      // the routers that are not ready because of their callers changed
	RoutersInUse      Event = "RoutersInUse"     // the capacity in use of a data centre's routers changed
	SharesDecided     Event = "SharesDecided"    // the leader's limit for customers began, ended or goes on, or routers refuse work without it
	NotifyFailed      Event = "NotifyFailed"     // a notification to a follower failed
	MessagePanicked   Event = "MessagePanicked"  // the handling of a message panicked
	ReportFailed      Event = "ReportFailed"     // a report to a control host failed
	ReportRefused     Event = "ReportRefused"    // a router's report is invalid
	RouterNotReading  Event = "RouterNotReading" // the queue of messages to a router is full
	GrantsNotSent     Event = "GrantsNotSent"    // sending grants to a router failed
)

// Targets.
const (
	TargetAnnounced     Event = "TargetAnnounced"
	TargetEnded         Event = "TargetEnded"
	PartQuarantined     Event = "PartQuarantined"     // requests with a part of a prompt that crashes targets are refused
	PartReleased        Event = "PartReleased"        // a quarantine of a part ended, by time or by an answer
	TargetForgotten     Event = "TargetForgotten"     // a target sent no announcement within the time-out
	StatementMalformed  Event = "StatementMalformed"  // a header by which a target states something about itself is not valid
	AnnouncementIgnored Event = "AnnouncementIgnored" // an announcement was out of date
	AnnouncementRefused Event = "AnnouncementRefused" // an announcement was invalid, or control was unavailable
)

// Calls of operators.
const (
	ConfigAcknowledged     Event = "ConfigAcknowledged"     // a configuration was accepted
	DataCentreAcknowledged Event = "DataCentreAcknowledged" // a data centre was taken out or brought back
	RolloutAcknowledged    Event = "RolloutAcknowledged"    // an order of a roll-out was accepted
	OperatorRefused        Event = "OperatorRefused"        // an operator's call was invalid, or control was unavailable
)

// Roll-outs.
const (
	RolloutChanged      Event = "RolloutChanged"      // another state of a roll-out is committed
	RolloutDecided      Event = "RolloutDecided"      // the leader proposes to change a roll-out
	RolloutNotCommitted Event = "RolloutNotCommitted" // a change that the leader proposed was not committed
)

// Leases of dispatchers.
const (
	LeaseAcquired    Event = "LeaseAcquired"
	LeaseLost        Event = "LeaseLost"
	LeaseNotAnswered Event = "LeaseNotAnswered" // control did not reply to the request for the lease
	LeaseNotReleased Event = "LeaseNotReleased" // control did not reply to the release of the lease
)

// Replicas, their storage and the event log.
const (
	StandingChanged Event = "StandingChanged" // the role of a replica or its leader changed
	StorageFailed   Event = "StorageFailed"   // the replica can no longer write
	StorageDamaged  Event = "StorageDamaged"  // a replica's files are damaged
	WriteFailed     Event = "WriteFailed"     // a write failed and will be retried
	TornTailCut     Event = "TornTailCut"     // an incomplete record at the end of the log was cut off
	EventLog        Event = "EventLog"        // writing an event to the event log failed
	EventLogEnded   Event = "EventLogEnded"   // the event log ended after a failed write
)

// Internal errors, and losses of the log itself.
const (
	EffectUnknown     Event = "EffectUnknown" // a reducer returned an effect that the process cannot perform
	InvariantViolated Event = "InvariantViolated"
	LogLinesDropped   Event = "LogLinesDropped" // log lines did not fit into the queue of the log and were dropped
)

// Fields that several events share.
const (
	// FieldRequest is the request id that the caller sent.
	FieldRequest = "request"
	// FieldRoute is the name of the route.
	FieldRoute = "route"
	// FieldCustomer is the customer whose API key the request carries.
	FieldCustomer = "customer"
	// FieldCaller is the address of the caller's connection.
	FieldCaller = "caller"
	// FieldAttempt is the number of the attempt at this router, from 1.
	FieldAttempt = "attempt"
	// FieldTarget is the name of the target.
	FieldTarget = "target"
	// FieldIncarnation is the incarnation that the target announced.
	FieldIncarnation = "incarnation"
	// FieldSoftwareVersion is the version of the software that the target announced.
	FieldSoftwareVersion = "softwareVersion"
	// FieldResumes is the id of the request that received the first event of the stream that
	// the request resumes.
	FieldResumes = "resumes"
	// FieldReason is why a request was refused.
	FieldReason = "reason"
	// FieldRetryAfter is the time after which the caller may retry, in ms.
	FieldRetryAfter = "retryAfterMs"
	// FieldMemoryReason is why a request was ended to free memory, see package bytebudget.
	FieldMemoryReason = "memory"
	// FieldBytes is what the request held, and FieldGroupBytes what its customer or address held.
	FieldBytes      = "bytes"
	FieldGroupBytes = "groupBytes"
	// FieldBytesPerSecond is the rate at which the request was read, and FieldIdle the time since its
	// last bytes, in ms.
	FieldBytesPerSecond = "bytesPerS"
	FieldIdle           = "idleMs"
	// FieldHeld is what the process held for others, of FieldBudget.
	FieldHeld   = "held"
	FieldBudget = "budget"
	// FieldOutcome is how an attempt ended.
	FieldOutcome = "outcome"
	// FieldStatus is the HTTP status, or 0 if there was no response.
	FieldStatus = "status"
	// FieldError is the error message.
	FieldError = "error"
	// FieldElapsed is the time since the request arrived, in ms.
	FieldElapsed = "elapsedMs"
	// FieldFirstByte is the time from sending the request to the first byte of the response, in ms.
	FieldFirstByte = "firstByteMs"
	// FieldSendDelay is the time from the choice of the target to the writing of the request, in ms.
	FieldSendDelay = "sendDelayMs"
	// FieldTargetsAge is the time since the router last received the state of the targets, in ms.
	FieldTargetsAge = "targetsAgeMs"
	// FieldExpectedFirstByte is the expected time to the first byte of the response, in ms.
	FieldExpectedFirstByte = "expectedMs"
	// FieldQueueDelay is the part of FieldExpectedFirstByte that is due to other requests, in ms.
	FieldQueueDelay = "waitMs"
	// FieldSlowness is the time to the first byte that the router has learnt to expect from the
	// target, as a multiple of the time by its configured capacity.
	FieldSlowness = "slowness"
	// FieldPace is the pace of a target as all routers measured it, FieldPaceAge the age of
	// the newest answer that it rests on, in ms.
	FieldPace    = "pace"
	FieldPaceAge = "paceAgeMs"
	// FieldRank is the target's position in the rendezvous order of the prompt's shared part,
	// from 0, or its position among the candidates if the request has no prompt.
	FieldRank = "rank"
	// FieldCandidates is the number of targets that were eligible for the request.
	FieldCandidates = "candidates"
	// FieldQueuedTokens is the number of prompt tokens that the target had to process before
	// this request.
	FieldQueuedTokens = "waitingTokens"
	// FieldPrefillTokens is the number of prompt tokens of this request that the target had to
	// process, without those in its prefix cache.
	FieldPrefillTokens = "readTokens"
	// FieldCopySource is the target from which the target may fetch the shared part of the prompt,
	// FieldCopiedTokens the number of prompt tokens that it is expected to fetch.
	FieldCopySource   = "copyFrom"
	FieldCopiedTokens = "copyTokens"
	// FieldBackOff is for how long that target is not named, in ms. FieldWaited is the time
	// from the writing of a request to the event, in ms.
	FieldBackOff = "backOffMs"
	FieldWaited  = "waitedMs"
	// FieldNoSource is why no such target was named.
	FieldNoSource = "noSource"
	// FieldRunning is the number of requests that were running at the target.
	FieldRunning = "running"
	// FieldAdmittedShare is the share of the customer's demand that is admitted, from 0 to 1.
	FieldAdmittedShare = "share"
	// FieldDigestAge is the age of the router's information on the load of other routers, in ms.
	FieldDigestAge = "digestAgeMs"
	// FieldLimit is the number of requests a second that a target states it takes from all
	// routers together.
	FieldLimit = "limitPerS"
	// FieldTargetRetryAfter is the time for which the target that declined a request wants no
	// more, in ms.
	FieldTargetRetryAfter = "targetRetryAfterMs"
	// FieldLeaving is true if the target states that it leaves.
	FieldLeaving = "leaving"
	// FieldLimitQuota is the number of requests that the router may still send to a limited
	// target in the present window.
	FieldLimitQuota = "limitQuota"
	// FieldRollout is the number of a roll-out, FieldRolloutRevision that of its change.
	FieldRollout         = "rollout"
	FieldRolloutRevision = "rolloutRevision"
	// FieldRolloutSide is the side of a roll-out that a request was given.
	FieldRolloutSide = "rolloutSide"
	// FieldRolloutShare is the part of the requests, from 0 to 1, that the router gives to the new
	// version.
	FieldRolloutShare = "rolloutShare"
	// FieldRolloutAge is the time since a control host confirmed the state of a roll-out, in ms.
	FieldRolloutAge = "rolloutAgeMs"
	// FieldHedgeOf is the number of the slow attempt beside which an attempt is sent, or would be.
	FieldHedgeOf = "hedgeOf"
	// FieldSlowAfter is the time without an answer after which that attempt counted as slow, in ms.
	FieldSlowAfter = "slowAfterMs"
	// FieldSlowSource is what FieldSlowAfter was derived from: the times of the route or of the
	// service at this router, or the route's goal.
	FieldSlowSource = "slowSource"
	// FieldSlowAge is the age of the newest of those times, in ms.
	FieldSlowAge = "slowAgeMs"
	// FieldRemaining is the time that the slow attempt was expected to take from then on, in ms.
	FieldRemaining = "remainingMs"
	// FieldHedgesLeft is the number of hedged requests of the service that the router may send in
	// the present window.
	FieldHedgesLeft = "hedgesLeft"
	// FieldRetriesLeft is the number of retries of the service that the router may send in the
	// present window.
	FieldRetriesLeft = "retriesLeft"
	// FieldWinner is the number of the attempt whose answer was passed on, of two at once; 0 for none.
	FieldWinner = "winner"
	// FieldLoserTime is the time from the choice of the target to the end of the other attempt, in ms.
	FieldLoserTime = "loserMs"
	// FieldNumber is the number of a configuration.
	FieldNumber = "number"
	// FieldRevision is the index of an entry in the replicated log of the control hosts.
	FieldRevision = "revision"
	// FieldService is the name of a service.
	FieldService = "service"
	// FieldLines is the number of log lines dropped since the previous event of this kind.
	FieldLines = "lines"
)
