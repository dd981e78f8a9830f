package owner

import "yuccausher/internal/gen/record"

// noteLeft records that a call left for a target and has no outcome, so that
// no refusal of the same call says later, here or at another owner, that it
// did not run. Then is called once the record was seen or is void. The record
// is not awaited; the program's next call waits for it.
func (r *running) recordDispatched(slice *record.Slice, then func()) {
	p := r.partition
	slice.ProgramId = r.call.ProgramID
	slice.LeftSeq = r.call.Seq
	p.mu.Lock()
	v := p.activityOf(slice.ProgramId)
	v.dispatchedSeq = r.call.Seq
	v.unresolvedRecords++
	p.beginWork()
	p.mu.Unlock()
	sent := p.submitAt(r.epoch, &record.Record{Body: &record.Record_Slice{Slice: slice}})
	p.service.spawn(func() {
		_ = await(p.service.ctx, sent)
		then()
		p.recordResolved(slice.ProgramId)
	})
}
