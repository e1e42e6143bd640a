// Package logging builds the structured logger of a process.
package logging

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/burdockplank/burdockplank/internal/settings"
)

// New returns a JSON logger of the program on the VM that writes to standard error.
func New(program, vm string, s settings.Log) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, eris.Wrap(err, "logging: parse level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(level)
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.EncoderConfig = encoderConfig()
	log, err := cfg.Build()
	if err != nil {
		return nil, eris.Wrap(err, "logging: build")
	}
	return log.With(zap.String("program", program), zap.String("vm", vm)), nil
}

// encoderConfig returns the configuration of the fields that all lines have.
func encoderConfig() zapcore.EncoderConfig {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	return cfg
}
