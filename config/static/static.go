// Package static holds the settings of one process: only what the process
// can't learn from the platform or from the published configuration.
//
// The guarantee: settings are validated as a whole before anything starts.
package static

import (
	"io"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/config/strictyaml"
)

// Settings are the settings of one process.
type Settings struct {
	// Listen is the IP number and port to accept connections on.
	Listen string `yaml:"listen" validate:"required,ip_port" example:"0.0.0.0:8080"`
	// Advertise is the IP number and port that others reach the process at.
	Advertise string `yaml:"advertise" validate:"required,ip_port,reachable" example:"10.0.0.5:8080"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"zone" validate:"required,max=63,dns_rfc1035_label" example:"dakar-a"`
	// Platform says where the platform's services are.
	Platform Platform `yaml:"platform" validate:"required" example:"log: http://10.0.0.2:7001"`
	// LogLevel is the least level that is logged; info if absent.
	LogLevel LogLevel `yaml:"log_level" validate:"omitempty,oneof=debug info warn error" example:"info"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Log is the append-only log service.
	Log string `yaml:"log" validate:"required,ip_url" example:"http://10.0.0.2:7001"`
	// VMs is the list of live and leaving VMs.
	VMs string `yaml:"vms" validate:"required,ip_url" example:"http://10.0.0.2:7002"`
	// Weights is the weight store.
	Weights string `yaml:"weights" validate:"required,ip_url" example:"http://10.0.0.2:7003"`
}

// LogLevel names a level of log/slog. It is a slog.Leveler.
type LogLevel string

// Log levels.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Level implements slog.Leveler; an absent level is info.
func (l LogLevel) Level() slog.Level {
	switch l {
	case LogDebug:
		return slog.LevelDebug
	case LogWarn:
		return slog.LevelWarn
	case LogError:
		return slog.LevelError
	}
	return slog.LevelInfo
}

// Problem is one fault of a settings file.
type Problem = strictyaml.Problem

// ParseError is a settings file that was refused, with all its problems.
type ParseError = strictyaml.ParseError

// Load reads and validates the settings file at path. A file that was read
// but refused gives a *ParseError.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, strictyaml.MaxBytes+1))
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	return Parse(path, data)
}

// Parse validates settings; name is the file that problems refer to.
func Parse(name string, data []byte) (Settings, error) {
	src, err := strictyaml.Parse(name, data)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	src.Decode(&s)
	if err := src.Err(); err != nil {
		return Settings{}, err
	}
	src.AddViolations(&s)
	if err := src.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
