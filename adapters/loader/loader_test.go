package loader

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

const validSettings = `name = "status-app-1"
availability-zone = "piraeus"
region = "attica"
peer-address = "10.0.0.1:7000"
caller-address = "10.0.0.1:8000"
local-address = "127.0.0.1:9000"
admin-address = "10.0.0.1:9100"
store-url = "http://10.0.0.5:2400"
`

func TestLoadAppliesOverridesAndDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lagoond.toml")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	settings, err := Load(path, []Override{NewOverride("log-level", "debug"), NewOverride("body-limit", "2048")})
	if err != nil {
		t.Fatal(err)
	}
	if settings.Name() != "status-app-1" || settings.PeerListenAddress() != "10.0.0.1:7000" ||
		settings.CallerListenAddress() != "10.0.0.1:8000" || settings.BodyLimit() != 2048 ||
		settings.LogLevel() != logrus.DebugLevel || settings.LogFormat() != LogText ||
		settings.ShutdownTimeout() != defaultShutdownTimeout {
		t.Errorf("got %+v", settings)
	}
}

func TestFaultsContainFileLineAndKey(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(validSettings, old, new, 1) }
	cases := []struct{ name, text, want string }{
		{"unknown", validSettings + "peer-adress = \"x\"\n", "f.toml:9: peer-adress: unknown setting"},
		{"unknown table", validSettings + "[limits]\nqueue = 3\n", "limits: unknown setting"},
		{"missing name", replace(`name = "status-app-1"`, ""), "f.toml: name: the setting is required"},
		{"bad name", replace("status-app-1", "Status App"), `f.toml:1: name: "Status App" is no name`},
		{"bad zone", replace("piraeus", "-"), `f.toml:2: availability-zone: "-"`},
		{"host name", replace("10.0.0.1:7000", "peer.example:7000"), "f.toml:4: peer-address"},
		{"unspecified", replace("10.0.0.1:7000", "0.0.0.0:7000"), "f.toml:4: peer-address"},
		{"port range", replace("127.0.0.1:9000", "127.0.0.1:70000"), `f.toml:6: local-address: port "70000" is outside`},
		{"no port", replace("127.0.0.1:9000", "127.0.0.1"), "f.toml:6: local-address"},
		{"shared address", replace("10.0.0.1:9100", "127.0.0.1:9000"), "f.toml:7: admin-address: 127.0.0.1:9000 is already the address of local-address"},
		{"store", replace("http://10.0.0.5:2400", "10.0.0.5:2400"), "f.toml:8: store-url"},
		{"range", validSettings + "body-limit = 0\n", "f.toml:9: body-limit: 0 is outside 1 to"},
		{"range of connections", validSettings + "peer-connections = 3\n", "f.toml:9: peer-connections: 3 is outside"},
		{"range of the link", validSettings + "region-link-bytes-per-second = -1\n", "f.toml:9: region-link-bytes-per-second: -1 is outside"},
		{"log format", validSettings + "log-format = \"xml\"\n", `f.toml:9: log-format: "xml" is neither`},
		{"log level", validSettings + "log-level = \"loud\"\n", "f.toml:9: log-level"},
		{"timeout", validSettings + "shutdown-timeout = \"0s\"\n", "f.toml:9: shutdown-timeout: 0s is outside"},
		{"timeout text", validSettings + "shutdown-timeout = \"soon\"\n", "f.toml:9: shutdown-timeout"},
		{"wrong type", replace(`"attica"`, "7"), "f.toml:3: region"},
		{"syntax", validSettings + "body-limit = = 3\n", "f.toml:9: "},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f.toml", test.text, nil)
			var faults Faults
			if !errors.As(err, &faults) || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q in it", err, test.want)
			}
		})
	}
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse("f.toml", "", nil)
	var faults Faults
	if !errors.As(err, &faults) || len(faults) < 7 {
		t.Errorf("got %v", err)
	}
}

func TestInvalidOverrideIsReportedWithItsSource(t *testing.T) {
	_, err := Parse("f.toml", validSettings, []Override{NewOverride("body-limit", "many"), NewOverride("colour", "red")})
	for _, want := range []string{`command line or environment: body-limit: "many" is not a number`, "command line or environment: colour"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q in it", err, want)
		}
	}
	_, err = Parse("f.toml", validSettings, []Override{NewOverride("log-format", "xml")})
	if err == nil || !strings.HasPrefix(err.Error(), "command line or environment: log-format") {
		t.Errorf("got %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("name = 3")
	f.Fuzz(func(t *testing.T, text string) {
		settings, err := Parse("f.toml", text, nil)
		if err == nil && settings.Name() == "" {
			t.Error("settings without a name were accepted")
		}
	})
}
