package owner

import "yuccausher/internal/gen/record"

// recordDispatched records that a call was dispatched and has no outcome, so that
// no later refusal of the same call, by this or another owner, reports it as not
// run. It does not wait for the record, but the program's next call does. then is
// called once the record is confirmed or void.
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
