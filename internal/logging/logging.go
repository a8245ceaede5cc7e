// Package logging makes the process's own log.
package logging

import (
	"fmt"

	"go.uber.org/zap"
)

// New returns a logger that writes to standard error. Level is debug, info, warn or
// error; format is json or console.
func New(level, format string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if format == "console" {
		c = zap.NewDevelopmentConfig()
		c.DisableStacktrace = true
	}
	l, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logging: %w", err)
	}
	c.Level = l
	out, err := c.Build()
	if err != nil {
		return nil, fmt.Errorf("logging: %w", err)
	}
	return out, nil
}
