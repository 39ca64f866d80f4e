// Package static reads the settings file of one process. The file holds only what
// the process can't learn from the platform or from the published configuration.
//
// A settings file is validated as a whole: Load and Parse return either complete
// and valid settings or an error, so a process can check them before it starts.
package static

import (
	"log/slog"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/tamarackcleat/tamarackcleat/config/dynamic"
	"github.com/tamarackcleat/tamarackcleat/config/strictyaml"
)

// Settings are the settings of one process.
type Settings struct {
	// Listen is the IP address and port to accept connections on.
	Listen string `yaml:"listen" validate:"required,ip_port" example:"0.0.0.0:8080"`
	// Advertise is the IP address and port at which other processes reach this
	// one.
	Advertise string `yaml:"advertise" validate:"required,ip_port,reachable" example:"10.0.0.5:8080"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"zone" validate:"required,max=63,dns_rfc1035_label" example:"dakar-a"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `yaml:"platform" validate:"required" example:"log: http://10.0.0.2:7001"`
	// Limits holds the limits of the process.
	Limits Limits `yaml:"limits" example:"memory: 184MiB"`
	// LogLevel is the minimum level of log lines; info if absent.
	LogLevel LogLevel `yaml:"log_level" validate:"omitempty,oneof=debug info warn error" example:"info"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// Log is the URL of the append-only log service.
	Log string `yaml:"log" validate:"required,ip_url" example:"http://10.0.0.2:7001"`
	// VMs is the URL of the service that lists live and leaving VMs.
	VMs string `yaml:"vms" validate:"required,ip_url" example:"http://10.0.0.2:7002"`
	// Weights is the URL of the weight store.
	Weights string `yaml:"weights" validate:"required,ip_url" example:"http://10.0.0.2:7003"`
}

// Limits holds the limits of the process, and the parts of them that callers may hold
// together. A limit that is absent has its default.
type Limits struct {
	// Memory is the memory of the process; no limit if absent.
	Memory dynamic.Size `yaml:"memory" validate:"omitempty,min=33554432" example:"184MiB"`
	// Descriptors is the number of open descriptors of the process; no limit if absent.
	Descriptors Count `yaml:"descriptors" validate:"omitempty,min=64" example:"4100"`
	// CallerMemory bounds the memory of connections, heads and bodies of callers; three
	// tenths of Memory, or 64 MiB, if absent.
	CallerMemory dynamic.Size `yaml:"caller_memory" validate:"omitempty,min=4194304" example:"55MiB"`
	// CallerConnections bounds the connections of callers, operators and other entry VMs;
	// three tenths of Descriptors, or 4096, if absent.
	CallerConnections Count `yaml:"caller_connections" validate:"omitempty,min=16" example:"1230"`
}

// Count is a number of things.
type Count int

// maxCountDigits bounds the text form of a Count.
const maxCountDigits = 9

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Count) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 10, 32)
	if err != nil || len(text) > maxCountDigits {
		return errors.Newf("%q is not a number of at most %d digits", text, maxCountDigits)
	}
	*c = Count(n)
	return nil
}

// LogLevel is the name of a log/slog level. It implements slog.Leveler.
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

// Problem is one error in a settings file.
type Problem = strictyaml.Problem

// ParseError is the error for an invalid settings file. It holds the problems found
// in the file.
type ParseError = strictyaml.ParseError

// Load reads and validates the settings file at path. If the file can be read but
// is invalid, the error is a *ParseError.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	defer f.Close()
	data, err := strictyaml.ReadDocument(f)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates the contents of a settings file. Problems name the
// file as name. If the settings are invalid, the error is a *ParseError.
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
