package shell

import (
	"expvar"

	"github.com/fuchsiashed/fuchsiashed/fleet"
	"github.com/fuchsiashed/fuchsiashed/fleet/registry"
)

var (
	counters = expvar.NewMap("Control")
	refusals = expvar.NewMap("ControlRefusals")
)

// countRefusal counts a refused request or effect by its reason.
func countRefusal(reason string) { refusals.Add(reason, 1) }

// countAnswer counts an answer and, if it is a refusal, its reason.
func countAnswer(a registry.Answer) {
	counters.Add("Answers", 1)
	if a.Failure != nil {
		countFailure(a.Failure)
		return
	}
	switch r := a.Reply.(type) {
	case *fleet.ChangeReply:
		countChange(r)
	case *fleet.LeaseReply:
		if !r.Granted {
			countRefusal("LeaseNotGranted")
		}
	case *fleet.LedgerBeginReply:
		if r.State != fleet.LedgerGranted {
			countRefusal("Ledger" + string(r.State))
		}
	case *fleet.LedgerEndReply:
		if !r.Recorded {
			countRefusal("LedgerEndNotRecorded")
		}
	case *fleet.StartRolloutReply:
		if r.Conflict {
			countRefusal("RolloutConflict")
		}
	case *fleet.ReplaceReply:
		if !r.Accepted {
			countRefusal("ReplaceInvalid")
		}
	}
}

func countFailure(f *registry.Failure) {
	switch f.Code {
	case fleet.CodeNotLeader:
		countRefusal("NotLeader")
	case fleet.CodeUnavailable:
		countRefusal("Unavailable")
	default:
		countRefusal("Invalid")
	}
}

func countChange(r *fleet.ChangeReply) {
	switch {
	case r.Conflict != nil:
		countRefusal("ChangeConflict")
	case r.Invalid != "":
		countRefusal("ChangeInvalid")
	case r.Accepted:
		counters.Add("ChangesAccepted", 1)
	}
}
