package loader

import (
	"time"

	"github.com/sirupsen/logrus"
)

// The defaults of optional settings.
const (
	defaultBodyLimit       = 1 << 20
	defaultPeerConnections = 512
	defaultShutdownTimeout = 30 * time.Second
	defaultLogFormat       = LogText
	defaultLogLevel        = "info"
)

// The log formats.
const (
	// LogText is a human-readable format.
	LogText = "text"
	// LogJSON is a machine-readable format.
	LogJSON = "json"
)

// rawSettings holds the values of the settings file before validation.
type rawSettings struct {
	Name                     string `toml:"name"`
	AvailabilityZone         string `toml:"availability-zone"`
	Region                   string `toml:"region"`
	PeerAddress              string `toml:"peer-address"`
	PeerListenAddress        string `toml:"peer-listen-address"`
	CallerAddress            string `toml:"caller-address"`
	CallerListenAddress      string `toml:"caller-listen-address"`
	LocalAddress             string `toml:"local-address"`
	AdminAddress             string `toml:"admin-address"`
	StoreURL                 string `toml:"store-url"`
	AdminKeyFile             string `toml:"admin-key-file"`
	LogFormat                string `toml:"log-format"`
	LogLevel                 string `toml:"log-level"`
	BodyLimit                int64  `toml:"body-limit"`
	PeerConnections          int    `toml:"peer-connections"`
	ShutdownTimeout          string `toml:"shutdown-timeout"`
	RegionLinkBytesPerSecond int    `toml:"region-link-bytes-per-second"`
}

// Settings holds the validated settings of a daemon.
type Settings struct {
	raw             rawSettings
	logLevel        logrus.Level
	shutdownTimeout time.Duration
}

// Name returns the daemon's name, which is unique in the fleet.
func (settings Settings) Name() string { return settings.raw.Name }

// AvailabilityZone returns the name of the availability zone in which the daemon runs.
func (settings Settings) AvailabilityZone() string { return settings.raw.AvailabilityZone }

// Region returns the name of the region in which the daemon runs.
func (settings Settings) Region() string { return settings.raw.Region }

// PeerAddress returns the host and port at which other daemons reach this one.
func (settings Settings) PeerAddress() string { return settings.raw.PeerAddress }

// PeerListenAddress returns the host and port to listen on for other daemons.
func (settings Settings) PeerListenAddress() string { return settings.raw.PeerListenAddress }

// CallerAddress returns the host and port at which callers reach the daemon.
func (settings Settings) CallerAddress() string { return settings.raw.CallerAddress }

// CallerListenAddress returns the host and port to listen on for callers.
func (settings Settings) CallerListenAddress() string { return settings.raw.CallerListenAddress }

// LocalAddress returns the host and port to listen on for the local backend server.
func (settings Settings) LocalAddress() string { return settings.raw.LocalAddress }

// AdminAddress returns the host and port to listen on for operators and metrics.
func (settings Settings) AdminAddress() string { return settings.raw.AdminAddress }

// StoreURL returns the base URL of the platform's key-value store.
func (settings Settings) StoreURL() string { return settings.raw.StoreURL }

// AdminKeyFile returns the path of the file with the operators' keys, empty for none.
func (settings Settings) AdminKeyFile() string { return settings.raw.AdminKeyFile }

// LogFormat returns LogText or LogJSON.
func (settings Settings) LogFormat() string { return settings.raw.LogFormat }

// LogLevel returns the minimum level of logged messages.
func (settings Settings) LogLevel() logrus.Level { return settings.logLevel }

// BodyLimit returns the maximum size of a request body in bytes.
func (settings Settings) BodyLimit() int64 { return settings.raw.BodyLimit }

// PeerConnections returns the maximum number of connections to other daemons.
func (settings Settings) PeerConnections() int { return settings.raw.PeerConnections }

// RegionLinkBytesPerSecond returns the daemon's share of the bandwidth between regions, zero for no limit.
func (settings Settings) RegionLinkBytesPerSecond() int { return settings.raw.RegionLinkBytesPerSecond }

// ShutdownTimeout returns the maximum duration of a shutdown.
func (settings Settings) ShutdownTimeout() time.Duration { return settings.shutdownTimeout }

func defaults() rawSettings {
	return rawSettings{
		LogFormat: defaultLogFormat, LogLevel: defaultLogLevel, BodyLimit: defaultBodyLimit,
		PeerConnections: defaultPeerConnections, ShutdownTimeout: defaultShutdownTimeout.String(),
	}
}
