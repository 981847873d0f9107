// Package logevent defines the events that the processes log and the fields that several
// events share. docs/OPERATIONS.md explains each of them.
package logevent

// Event is the message of a structured log line.
type Event = string

// Start and stop of a process.
const (
	Build        Event = "Build"
	Start        Event = "Start"
	Started      Event = "Started"
	Reloaded     Event = "Reloaded"
	ReloadFailed Event = "ReloadFailed"
	Stopping     Event = "Stopping"
	StopForced   Event = "StopForced"
	Stop         Event = "Stop"
	Stopped      Event = "Stopped"
)

// Requests at a router.
const (
	RequestSent       Event = "RequestSent"
	AttemptEnded      Event = "AttemptEnded"
	RequestRefused    Event = "RequestRefused"
	LedgerBeginFailed Event = "LedgerBeginFailed"
	LedgerEndFailed   Event = "LedgerEndFailed"
)

// The configuration and load that a process knows, and its connections to other processes.
const (
	ConfigInForce     Event = "ConfigInForce"
	ConfigUnconfirmed Event = "ConfigUnconfirmed"
	ConfigFetchFailed Event = "ConfigFetchFailed"
	StateNoticed      Event = "StateNoticed"
	ControlJoined     Event = "ControlJoined"
	ControlLost       Event = "ControlLost"
	JoinFailed        Event = "JoinFailed"
	FollowerJoined    Event = "FollowerJoined"
	CallersSpread     Event = "CallersSpread"
	LoadUnknown       Event = "LoadUnknown"
	FollowerLeft      Event = "FollowerLeft"
	NotifyFailed      Event = "NotifyFailed"
	ReportFailed      Event = "ReportFailed"
	ReportRefused     Event = "ReportRefused"
	RouterNotReading  Event = "RouterNotReading"
	GrantsNotSent     Event = "GrantsNotSent"
)

// Targets.
const (
	TargetAnnounced     Event = "TargetAnnounced"
	TargetEnded         Event = "TargetEnded"
	TargetForgotten     Event = "TargetForgotten"
	AnnouncementIgnored Event = "AnnouncementIgnored"
	AnnouncementRefused Event = "AnnouncementRefused"
)

// Calls of operators.
const (
	ConfigAcknowledged     Event = "ConfigAcknowledged"
	DataCentreAcknowledged Event = "DataCentreAcknowledged"
	OperatorRefused        Event = "OperatorRefused"
)

// Leases of dispatchers.
const (
	LeaseAcquired    Event = "LeaseAcquired"
	LeaseLost        Event = "LeaseLost"
	LeaseNotAnswered Event = "LeaseNotAnswered"
	LeaseNotReleased Event = "LeaseNotReleased"
)

// Replicas, their storage and the event log.
const (
	StandingChanged Event = "StandingChanged"
	StorageFailed   Event = "StorageFailed"
	StorageDamaged  Event = "StorageDamaged"
	WriteFailed     Event = "WriteFailed"
	TornTailCut     Event = "TornTailCut"
	EventLog        Event = "EventLog"
	EventLogEnded   Event = "EventLogEnded"
)

// Internal errors, and losses of the log itself.
const (
	EffectUnknown     Event = "EffectUnknown"
	InvariantViolated Event = "InvariantViolated"
	LogLinesDropped   Event = "LogLinesDropped"
)

// Fields that several events share.
const (
	// FieldRequest is the id of the request, as its caller gave it.
	FieldRequest = "request"
	// FieldRoute is the name of the route.
	FieldRoute = "route"
	// FieldCustomer is the customer whose key came with the request.
	FieldCustomer = "customer"
	// FieldAttempt is the number of the attempt at this router, from 1.
	FieldAttempt = "attempt"
	// FieldTarget is the name of the target.
	FieldTarget = "target"
	// FieldIncarnation is the incarnation that the target announced.
	FieldIncarnation = "incarnation"
	// FieldReason is why a request was refused.
	FieldReason = "reason"
	// FieldRetryAfter is the time after which the caller may retry, in ms.
	FieldRetryAfter = "retryAfterMs"
	// FieldOutcome is how an attempt ended.
	FieldOutcome = "outcome"
	// FieldStatus is the HTTP status, or 0 if there was no answer.
	FieldStatus = "status"
	// FieldError is the error message.
	FieldError = "error"
	// FieldElapsed is the time since the request arrived, in ms.
	FieldElapsed = "elapsedMs"
	// FieldFirstByte is the time from sending the request to the first byte of the answer, in ms.
	FieldFirstByte = "firstByteMs"
	// FieldExpectedFirstByte is the expected time to the first byte of the answer, in ms.
	FieldExpectedFirstByte = "expectedMs"
	// FieldQueueDelay is the part of FieldExpectedFirstByte that is due to other requests, in ms.
	FieldQueueDelay = "waitMs"
	// FieldRank is the target's position in the rendezvous order of the prompt's shared part,
	// from 0, or its position among the candidates if the request has no prompt.
	FieldRank = "rank"
	// FieldCandidates is the number of targets that could have been chosen.
	FieldCandidates = "candidates"
	// FieldQueuedTokens is the number of prompt tokens that the target had to process before
	// this request.
	FieldQueuedTokens = "waitingTokens"
	// FieldPrefillTokens is the number of prompt tokens of this request that the target had to
	// process, without those in its prefix cache.
	FieldPrefillTokens = "readTokens"
	// FieldRunning is the number of requests that were running at the target.
	FieldRunning = "running"
	// FieldAdmittedShare is the share of the customer's demand that is admitted, from 0 to 1.
	FieldAdmittedShare = "share"
	// FieldDigestAge is the age of the router's information on the load of other routers, in ms.
	FieldDigestAge = "digestAgeMs"
	// FieldNumber is the number of a configuration.
	FieldNumber = "number"
	// FieldRevision is the index of an entry in the replicated log of the control hosts.
	FieldRevision = "revision"
	// FieldLines is the number of log lines dropped since the previous event of this kind.
	FieldLines = "lines"
)
