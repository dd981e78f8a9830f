// Package logging provides the loggers of a process: logr on top of zap, one line
// per event with the name of the part that logs it.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level is a log level.
type Level string

// The log levels. LevelDebug includes logr's V(1).
const (
	LevelError Level = "error"
	LevelInfo  Level = "info"
	LevelDebug Level = "debug"
)

// Levels lists the allowed levels.
var Levels = []string{string(LevelError), string(LevelInfo), string(LevelDebug)}

// New returns a logger that writes lines of plain text to w.
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
