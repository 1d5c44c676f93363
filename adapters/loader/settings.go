package loader

import (
	"time"

	"github.com/sirupsen/logrus"
)

// The defaults of settings that the file may leave out.
const (
	defaultBodyLimit       = 1 << 20
	defaultPeerConnections = 512
	defaultShutdownTimeout = 30 * time.Second
	defaultLogFormat       = LogText
	defaultLogLevel        = "info"
)

// The formats of the log.
const (
	// LogText is meant for people.
	LogText = "text"
	// LogJSON is meant for programs.
	LogJSON = "json"
)

// form is the settings file.
type form struct {
	Name              string `toml:"name"`
	AvailabilityZone  string `toml:"availability-zone"`
	Region            string `toml:"region"`
	PeerAddress       string `toml:"peer-address"`
	PeerListenAddress string `toml:"peer-listen-address"`
	CallerAddress     string `toml:"caller-address"`
	CallerListen      string `toml:"caller-listen-address"`
	LocalAddress      string `toml:"local-address"`
	AdminAddress      string `toml:"admin-address"`
	StoreURL          string `toml:"store-url"`
	AdminKeyFile      string `toml:"admin-key-file"`
	LogFormat         string `toml:"log-format"`
	LogLevel          string `toml:"log-level"`
	BodyLimit         int64  `toml:"body-limit"`
	PeerConnections   int    `toml:"peer-connections"`
	ShutdownTimeout   string `toml:"shutdown-timeout"`
	RegionLink        int    `toml:"region-link-bytes-per-second"`
}

// Settings are the checked settings of a daemon.
type Settings struct {
	form            form
	logLevel        logrus.Level
	shutdownTimeout time.Duration
}

// Name returns the daemon's name, which no other daemon of the fleet has.
func (settings Settings) Name() string { return settings.form.Name }

// AvailabilityZone returns the name of the zone that the daemon runs in.
func (settings Settings) AvailabilityZone() string { return settings.form.AvailabilityZone }

// Region returns the name of the zone's region.
func (settings Settings) Region() string { return settings.form.Region }

// PeerAddress returns the host and port at which other daemons reach this one.
func (settings Settings) PeerAddress() string { return settings.form.PeerAddress }

// PeerListenAddress returns the host and port to listen on for other daemons.
func (settings Settings) PeerListenAddress() string { return settings.form.PeerListenAddress }

// CallerAddress returns the host and port at which callers reach the daemon.
func (settings Settings) CallerAddress() string { return settings.form.CallerAddress }

// CallerListenAddress returns the host and port to listen on for callers.
func (settings Settings) CallerListenAddress() string { return settings.form.CallerListen }

// LocalAddress returns the host and port to listen on for the backend server beside the daemon.
func (settings Settings) LocalAddress() string { return settings.form.LocalAddress }

// AdminAddress returns the host and port to listen on for operators and metrics.
func (settings Settings) AdminAddress() string { return settings.form.AdminAddress }

// StoreURL returns the address of the platform's key-value service.
func (settings Settings) StoreURL() string { return settings.form.StoreURL }

// AdminKeyFile returns the path of the key of the operators, empty for none.
func (settings Settings) AdminKeyFile() string { return settings.form.AdminKeyFile }

// LogFormat returns LogText or LogJSON.
func (settings Settings) LogFormat() string { return settings.form.LogFormat }

// LogLevel returns the lowest level that is logged.
func (settings Settings) LogLevel() logrus.Level { return settings.logLevel }

// BodyLimit returns the bound on a caller's body in bytes.
func (settings Settings) BodyLimit() int64 { return settings.form.BodyLimit }

// PeerConnections returns the bound on connections to other daemons.
func (settings Settings) PeerConnections() int { return settings.form.PeerConnections }

// RegionLinkBytesPerSecond returns the daemon's share of the link between regions, zero for no bound.
func (settings Settings) RegionLinkBytesPerSecond() int { return settings.form.RegionLink }

// ShutdownTimeout returns how long a shutdown may take at most.
func (settings Settings) ShutdownTimeout() time.Duration { return settings.shutdownTimeout }

func defaults() form {
	return form{
		LogFormat: defaultLogFormat, LogLevel: defaultLogLevel, BodyLimit: defaultBodyLimit,
		PeerConnections: defaultPeerConnections, ShutdownTimeout: defaultShutdownTimeout.String(),
	}
}
