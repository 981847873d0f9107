package placement

// sendDue withdraws an attempt whose target has stopped taking requests since it was chosen. The
// target's time starts with the write: what passed before is this router's own delay.
func (r *Router) sendDue(ev SendDue) {
	k := r.openAttempt(ev.Call, ev.Attempt)
	if k == nil {
		return
	}
	if !r.mayWrite(k, k.current) {
		r.emit(Withdraw(ev))
		return
	}
	k.sentAt = r.now
	if k.source != nil && !r.mayStillCopy(k) {
		delete(k.source.transfers.awaited, k.ID)
		k.source = nil
		r.emit(DropSource(ev))
	}
}

// mayWrite reports whether a call may still be written to the target chosen for it.
func (r *Router) mayWrite(k *call, t *target) bool {
	return t.entry != nil && t.isServing() && t.incarnation == k.currentIncarnation &&
		!r.dataCentresOut[t.entry.DataCentre] && t.returns.acceptsCall(k, r.now) && r.mayUseSide(k, t)
}
