package commander

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSet = `
[home-region.doto]
[availability-zone.kushiro]
region = "doto"
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "set.toml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestCheckCommand(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"good", []string{"check", writeFile(t, validSet)}, ExitDone, "No faults."},
		{"faulty", []string{"check", writeFile(t, strings.Replace(validSet, `"doto"`, `"dohoku"`, 1))}, ExitFaulty, "set.toml:4"},
		{"json", []string{"check", "-output", "json", writeFile(t, validSet)}, ExitDone, `"faults"`},
		{"no file", []string{"check", "/does/not/exist"}, ExitFailed, "reading the set"},
		{"no argument", []string{"check"}, ExitFailed, "one argument is needed"},
		{"unknown output", []string{"check", "-output", "xml", writeFile(t, validSet)}, ExitFailed, "neither"},
		{"unknown flag", []string{"check", "-surprise"}, ExitFailed, "not defined"},
		{"help", []string{"publish", "-h"}, ExitDone, "EXAMPLES"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := run(t, test.args...)
			if code != test.code || !strings.Contains(stdout+stderr, test.want) {
				t.Errorf("code %d\n%s%s", code, stdout, stderr)
			}
		})
	}
}

func TestExitCodesOfPublish(t *testing.T) {
	cases := []struct {
		status int
		reply  string
		code   int
	}{
		{http.StatusOK, `{"verdict":"in-force","version":3}`, ExitDone},
		{http.StatusUnprocessableEntity, `{"verdict":"faulty"}`, ExitFaulty},
		{http.StatusPreconditionFailed, `{"verdict":"dangerous"}`, ExitDangerous},
		{http.StatusConflict, `{"verdict":"outrun"}`, ExitOutrun},
		{http.StatusAccepted, `{"verdict":"pending","confirmation":{"lags":[{"instance":"a#1"}]}}`, ExitPending},
		{http.StatusGatewayTimeout, `{"verdict":"uncertain"}`, ExitUncertain},
		{http.StatusServiceUnavailable, `{"verdict":"not-written"}`, ExitFailed},
		{http.StatusUnauthorized, `{"problem":"an operator's key is needed"}`, ExitFailed},
		{http.StatusBadGateway, `<html>`, ExitFailed},
	}
	for _, test := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.Header.Get("Authorization") != "Bearer 0123456789abcdef" {
				t.Errorf("authorization %q", request.Header.Get("Authorization"))
			}
			writer.WriteHeader(test.status)
			_, _ = writer.Write([]byte(test.reply))
		}))
		keys := writeFile(t, "maria 0123456789abcdef\n")
		code, stdout, stderr := run(t, "publish", "-admin-url", server.URL, "-key-file", keys, writeFile(t, validSet))
		server.Close()
		if code != test.code || stdout+stderr == "" {
			t.Errorf("%s: code %d, want %d\n%s%s", test.reply, code, test.code, stdout, stderr)
		}
	}
}
