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

// The bounds of settings.
const (
	maxBodyLimit       = 8 << 20
	minPeerConnections = 8
	maxPeerConnections = 1 << 16
	minShutdownTimeout = time.Second
	maxShutdownTimeout = 10 * time.Minute
	maxRegionLink      = 1 << 32
	maxPort            = 1<<16 - 1
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker collects all that is wrong with the settings.
type checker struct {
	file  string
	lines map[string]int
	form  *form
	// overridden are the settings that the file does not decide.
	overridden map[string]bool
	faults     Faults
}

// overrideSource stands in place of the file for settings that the file does not decide.
const overrideSource = "command line or environment"

func (checker *checker) add(key, format string, values ...any) {
	fault := Fault{file: checker.file, line: checker.lines[key], key: key, problem: fmt.Sprintf(format, values...)}
	if checker.overridden[key] {
		fault.file, fault.line = overrideSource, 0
	}
	checker.faults = append(checker.faults, fault)
}

// override sets the field with the key to the value.
func (checker *checker) override(override Override) {
	checker.overridden[override.key] = true
	if !isKey(override.key) {
		checker.add(override.key, "there is no such setting")
		return
	}
	form := reflect.ValueOf(checker.form).Elem()
	for i := range form.NumField() {
		if form.Type().Field(i).Tag.Get("toml") != override.key {
			continue
		}
		field := form.Field(i)
		if field.Kind() == reflect.String {
			field.SetString(override.value)
			continue
		}
		number, err := strconv.ParseInt(override.value, 10, field.Type().Bits())
		if err != nil {
			checker.add(override.key, "%q is not a number", override.value)
			continue
		}
		field.SetInt(number)
	}
}

// settings checks all fields and returns the settings, which are valid only if there are no faults.
func (checker *checker) settings() Settings {
	form := checker.form
	checker.checkNames()
	checker.checkAddresses()
	checker.checkStore()
	if form.LogFormat != LogText && form.LogFormat != LogJSON {
		checker.add("log-format", "%q is neither %q nor %q", form.LogFormat, LogText, LogJSON)
	}
	level, err := logrus.ParseLevel(form.LogLevel)
	if err != nil {
		checker.add("log-level", "%q is no level of the log", form.LogLevel)
	}
	checker.checkRange("body-limit", form.BodyLimit, 1, maxBodyLimit)
	checker.checkRange("region-link-bytes-per-second", int64(form.RegionLink), 0, maxRegionLink)
	checker.checkRange("peer-connections", int64(form.PeerConnections), minPeerConnections, maxPeerConnections)
	timeout, err := time.ParseDuration(form.ShutdownTimeout)
	if err != nil {
		checker.add("shutdown-timeout", "%q is no duration such as \"30s\"", form.ShutdownTimeout)
	} else if timeout < minShutdownTimeout || timeout > maxShutdownTimeout {
		checker.add("shutdown-timeout", "%v is outside %v to %v", timeout, minShutdownTimeout, maxShutdownTimeout)
	}
	return Settings{form: *form, logLevel: level, shutdownTimeout: timeout}
}

func (checker *checker) checkNames() {
	names := map[string]string{
		"name": checker.form.Name, "availability-zone": checker.form.AvailabilityZone, "region": checker.form.Region,
	}
	for _, key := range []string{"name", "availability-zone", "region"} {
		switch {
		case names[key] == "":
			checker.add(key, "it is missing")
		case !namePattern.MatchString(names[key]):
			checker.add(key, "%q is no name of at most 63 lower-case letters, digits and inner hyphens", names[key])
		}
	}
}

func (checker *checker) checkAddresses() {
	form := checker.form
	if form.PeerListenAddress == "" {
		form.PeerListenAddress = form.PeerAddress
	}
	if form.CallerListen == "" {
		form.CallerListen = form.CallerAddress
	}
	checker.checkReachable("peer-address", form.PeerAddress)
	checker.checkReachable("caller-address", form.CallerAddress)
	listened := make(map[string]string)
	for _, one := range []struct{ key, address string }{
		{"peer-listen-address", form.PeerListenAddress}, {"caller-listen-address", form.CallerListen},
		{"local-address", form.LocalAddress}, {"admin-address", form.AdminAddress},
	} {
		checker.checkAddress(one.key, one.address)
		if other, ok := listened[one.address]; ok && one.address != "" {
			checker.add(one.key, "%s is the address of %s too", one.address, other)
		}
		listened[one.address] = one.key
	}
}

// checkReachable checks an address that others use, so it cannot stand for all addresses of the machine.
func (checker *checker) checkReachable(key, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return // checkAddress reports it under the key of the listener unless both are set.
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		checker.add(key, "%q is no IP number at which others reach this daemon", host)
	}
}

func (checker *checker) checkAddress(key, address string) {
	if address == "" {
		checker.add(key, "it is missing")
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		checker.add(key, "%q is not an IP number and a port such as \"10.0.0.1:7000\"", address)
		return
	}
	if number, err := strconv.Atoi(port); err != nil || number < 1 || number > maxPort {
		checker.add(key, "port %q is outside 1 to %d", port, maxPort)
	}
}

func (checker *checker) checkStore() {
	address := checker.form.StoreURL
	if address == "" {
		checker.add("store-url", "it is missing")
		return
	}
	parsed, err := url.Parse(address)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		checker.add("store-url", "%q is no URL such as \"http://10.0.0.5:2400\"", address)
	}
}

func (checker *checker) checkRange(key string, value, low, high int64) {
	if value < low || value > high {
		checker.add(key, "%d is outside %d to %d", value, low, high)
	}
}
