// Package logevent names the events that the processes log, and the fields that join
// their lines. docs/OPERATIONS.md explains each of them.
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

// What a router does with a request.
const (
	RequestSent       Event = "RequestSent"
	AttemptEnded      Event = "AttemptEnded"
	RequestRefused    Event = "RequestRefused"
	LedgerBeginFailed Event = "LedgerBeginFailed"
	LedgerEndFailed   Event = "LedgerEndFailed"
)

// What a process believes, and whom it hears.
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

// The program itself.
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
	// FieldIncarnation is the start of the target, as it announced it.
	FieldIncarnation = "incarnation"
	// FieldReason is why a request was refused.
	FieldReason = "reason"
	// FieldRetryAfter is when the caller may come back, in ms.
	FieldRetryAfter = "retryAfterMs"
	// FieldOutcome is how an attempt ended.
	FieldOutcome = "outcome"
	// FieldStatus is the HTTP status; 0 when there was no answer.
	FieldStatus = "status"
	// FieldError is the the failure in words.
	FieldError = "error"
	// FieldElapsed is the time since the request arrived, in ms.
	FieldElapsed = "elapsedMs"
	// FieldFirstByte is the time from sending to the first byte, in ms.
	FieldFirstByte = "firstByteMs"
	// FieldExpected is the time to the first byte that was expected, in ms.
	FieldExpectedFirstByte = "expectedMs"
	// FieldWait is the time until a place would be free, in ms.
	FieldQueueDelay = "waitMs"
	// FieldRank is the place of the target among the owners of the shared part, from 1; 0 is none.
	FieldRank = "rank"
	// FieldCandidates is the number of targets that could be chosen.
	FieldCandidates = "candidates"
	// FieldWaiting is the number of prompt tokens that the target had to read first.
	FieldQueuedTokens = "waitingTokens"
	// FieldRead is the number of prompt tokens of this request that it had to read.
	FieldPrefillTokens = "readTokens"
	// FieldRunning is the number of requests that ran at the target.
	FieldRunning = "running"
	// FieldShare is the part of its wishes that the customer is granted, 0 to 1.
	FieldAdmittedShare = "share"
	// FieldDigestAge is the age of what the router knew of other routers' loads, in ms.
	FieldDigestAge = "digestAgeMs"
	// FieldNumber is the number of a configuration.
	FieldNumber = "number"
	// FieldRevision is the entry of the log of control.
	FieldRevision = "revision"
	// FieldLines is the number of lines dropped since the last such event.
	FieldLines = "lines"
)
