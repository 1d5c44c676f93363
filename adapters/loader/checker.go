package loader

import (
	"fmt"
	"net"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// The limits of settings.
const (
	maxBodyLimit                = 8 << 20
	minPeerConnections          = 8
	maxPeerConnections          = 1 << 16
	minShutdownTimeout          = time.Second
	maxShutdownTimeout          = 10 * time.Minute
	maxRegionLinkBytesPerSecond = 1 << 32
	maxPort                     = 1<<16 - 1
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker validates settings and collects their faults.
type checker struct {
	file  string
	lines map[string]int
	raw   *rawSettings
	// overridden holds the keys of settings whose value comes from an override.
	overridden map[string]bool
	faults     Faults
}

// overrideSource replaces the file name in faults of overridden settings.
const overrideSource = "command line or environment"

func (checker *checker) addFault(key, format string, values ...any) {
	fault := Fault{file: checker.file, line: checker.lines[key], key: key, problem: fmt.Sprintf(format, values...)}
	if checker.overridden[key] {
		fault.file, fault.line = overrideSource, 0
	}
	checker.faults = append(checker.faults, fault)
}

// override replaces the value of a setting.
func (checker *checker) override(override Override) {
	checker.overridden[override.key] = true
	if !isSettingKey(override.key) {
		checker.addFault(override.key, "unknown setting")
		return
	}
	raw := reflect.ValueOf(checker.raw).Elem()
	for i := range raw.NumField() {
		if raw.Type().Field(i).Tag.Get("toml") != override.key {
			continue
		}
		field := raw.Field(i)
		if field.Kind() == reflect.String {
			field.SetString(override.value)
			continue
		}
		number, err := strconv.ParseInt(override.value, 10, field.Type().Bits())
		if err != nil {
			checker.addFault(override.key, "%q is not a number", override.value)
			continue
		}
		field.SetInt(number)
	}
}

// settings validates all fields and returns the settings, which are valid only if there are no faults.
func (checker *checker) settings() Settings {
	raw := checker.raw
	checker.checkNames()
	checker.checkAddresses()
	checker.checkStore()
	if raw.LogFormat != LogText && raw.LogFormat != LogJSON {
		checker.addFault("log-format", "%q is neither %q nor %q", raw.LogFormat, LogText, LogJSON)
	}
	level, err := logrus.ParseLevel(raw.LogLevel)
	if err != nil {
		checker.addFault("log-level", "%q is not a log level", raw.LogLevel)
	}
	checker.checkRange("body-limit", raw.BodyLimit, 1, maxBodyLimit)
	checker.checkRange("region-link-bytes-per-second", int64(raw.RegionLinkBytesPerSecond), 0, maxRegionLinkBytesPerSecond)
	checker.checkRange("peer-connections", int64(raw.PeerConnections), minPeerConnections, maxPeerConnections)
	timeout, err := time.ParseDuration(raw.ShutdownTimeout)
	if err != nil {
		checker.addFault("shutdown-timeout", "%q is not a duration such as \"30s\"", raw.ShutdownTimeout)
	} else if timeout < minShutdownTimeout || timeout > maxShutdownTimeout {
		checker.addFault("shutdown-timeout", "%v is outside %v to %v", timeout, minShutdownTimeout, maxShutdownTimeout)
	}
	return Settings{raw: *raw, logLevel: level, shutdownTimeout: timeout}
}

func (checker *checker) checkNames() {
	names := map[string]string{
		"name": checker.raw.Name, "availability-zone": checker.raw.AvailabilityZone, "region": checker.raw.Region,
	}
	for _, key := range []string{"name", "availability-zone", "region"} {
		switch {
		case names[key] == "":
			checker.addFault(key, "the setting is required")
		case !namePattern.MatchString(names[key]):
			checker.addFault(key, "%q is no name of 1 to 63 lower-case letters, digits and inner hyphens", names[key])
		}
	}
}

func (checker *checker) checkAddresses() {
	raw := checker.raw
	if raw.PeerListenAddress == "" {
		raw.PeerListenAddress = raw.PeerAddress
	}
	if raw.CallerListenAddress == "" {
		raw.CallerListenAddress = raw.CallerAddress
	}
	checker.checkAdvertisedAddress("peer-address", raw.PeerAddress)
	checker.checkAdvertisedAddress("caller-address", raw.CallerAddress)
	keysByAddress := make(map[string]string)
	for _, listener := range []struct{ key, address string }{
		{"peer-listen-address", raw.PeerListenAddress}, {"caller-listen-address", raw.CallerListenAddress},
		{"local-address", raw.LocalAddress}, {"admin-address", raw.AdminAddress},
	} {
		checker.checkListenAddress(listener.key, listener.address)
		if otherKey, ok := keysByAddress[listener.address]; ok && listener.address != "" {
			checker.addFault(listener.key, "%s is already the address of %s", listener.address, otherKey)
		}
		keysByAddress[listener.address] = listener.key
	}
}

// checkAdvertisedAddress checks an address that other hosts connect to; an unspecified IP address is a fault.
func (checker *checker) checkAdvertisedAddress(key, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return // checkListenAddress reports it, under the key of the listen address, unless both are set.
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		checker.addFault(key, "%q is not an IP address at which other hosts can reach this daemon", host)
	}
}

func (checker *checker) checkListenAddress(key, address string) {
	if address == "" {
		checker.addFault(key, "the setting is required")
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		checker.addFault(key, "%q is not an IP address and port such as \"10.0.0.1:7000\"", address)
		return
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		checker.addFault(key, "port %q is outside 1 to %d", port, maxPort)
	}
}

func (checker *checker) checkStore() {
	address := checker.raw.StoreURL
	if address == "" {
		checker.addFault("store-url", "the setting is required")
		return
	}
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		checker.addFault("store-url", "%q is not a URL such as \"http://10.0.0.5:2400\"", address)
	}
}

func (checker *checker) checkRange(key string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		checker.addFault(key, "%d is outside %d to %d", value, minimum, maximum)
	}
}
