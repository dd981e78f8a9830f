// Package logging makes the logger of a process: logr in front of zap, one
// line per event with the part's name as its prefix.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level names how much is logged.
type Level string

// The levels. LevelDebug shows what logr calls V(1).
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Levels lists the allowed levels.
var Levels = []string{string(LevelError), string(LevelInfo), string(LevelDebug)}

// New returns a logger that writes to w.
func New(w io.Writer, level Level) logr.Logger {
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{
		TimeKey:          "time",
		LevelKey:         "level",
		NameKey:          "part",
		MessageKey:       "message",
		EncodeTime:       zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:      zapcore.LowercaseLevelEncoder,
		EncodeDuration:   zapcore.StringDurationEncoder,
		EncodeName:       encodePart,
		ConsoleSeparator: " ",
	})
	sink := zapcore.Lock(zapcore.AddSync(w))
	return zapr.NewLogger(zap.New(zapcore.NewCore(encoder, sink, zapLevel(level))))
}

func encodePart(name string, out zapcore.PrimitiveArrayEncoder) { out.AppendString(name + ":") }

func zapLevel(l Level) zapcore.Level {
	switch l {
	case LevelError:
		return zapcore.ErrorLevel
	case LevelDebug:
		return zapcore.DebugLevel
	}
	return zapcore.InfoLevel
}
