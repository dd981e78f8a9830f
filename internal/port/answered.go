package port

import (
	"context"
	"sync/atomic"
	"time"
)

// AnsweredLog is a shared log that records when it last answered a call of this host. A
// component can thus tell a log that is busy with the calls of others from one that is
// unavailable.
type AnsweredLog struct {
	SharedLog
	// answeredAt is nil before the first answer. Its monotonic reading is kept, so that a step of the clock does not make
	// the answer look older.
	answeredAt atomic.Pointer[time.Time]
}

// NewAnsweredLog returns a log that passes its calls to log.
func NewAnsweredLog(log SharedLog) *AnsweredLog { return &AnsweredLog{SharedLog: log} }

// AnsweredAt returns when the log last answered a call; the zero time if never.
func (l *AnsweredLog) AnsweredAt() time.Time {
	if at := l.answeredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Append implements SharedLog.
func (l *AnsweredLog) Append(ctx context.Context, p Partition, records [][]byte) (int64, error) {
	offset, err := l.SharedLog.Append(ctx, p, records)
	l.record(err)
	return offset, err
}

// Read implements SharedLog.
func (l *AnsweredLog) Read(ctx context.Context, p Partition, r Range) (RawPage, error) {
	page, err := l.SharedLog.Read(ctx, p, r)
	l.record(err)
	return page, err
}

func (l *AnsweredLog) record(err error) {
	if err == nil {
		now := time.Now()
		l.answeredAt.Store(&now)
	}
}
