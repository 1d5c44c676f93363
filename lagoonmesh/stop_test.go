package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagoonlanding.example/lagoonlanding/platform/simulator"
)

// processVariable contains the path of the settings if the test program is to run as a daemon.
const processVariable = "LAGOONMESH_TEST_PROCESS"

// TestMain runs the tests, or a daemon as a process of its own.
func TestMain(m *testing.M) {
	settings := os.Getenv(processVariable)
	if settings == "" {
		os.Exit(m.Run())
	}
	if err := run([]string{"-settings", settings, "-log-level", "error"}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// testProcess is a daemon that runs as a process of its own, so that its end closes its connections.
type testProcess struct {
	deployment
	command *exec.Cmd
}

func startProcess(t *testing.T, name, zone, service, store string) *testProcess {
	t.Helper()
	return startProgram(t, os.Args[0], newDeployment(name, zone, service, store))
}

// startProgram starts a program, which is the daemon or the test program, as a daemon.
func startProgram(t *testing.T, program string, deployed deployment) *testProcess {
	t.Helper()
	started := &testProcess{deployment: deployed}
	path := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(path, []byte(started.settings), 0o600); err != nil {
		t.Fatal(err)
	}
	started.command = exec.Command(program, "-settings", path, "-log-level", "error")
	// The race detector would delay the exit by a second.
	started.command.Env = append(os.Environ(), processVariable+"="+path, "GORACE=atexit_sleep_ms=0")
	started.command.Stdout, started.command.Stderr = os.Stdout, os.Stderr
	if err := started.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// Killing a process that has ended fails, which is what most tests expect.
		_ = started.command.Process.Kill()
		_ = started.command.Wait()
	})
	if err := started.backend.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return started
}

// stop ends the process as the platform does: SIGTERM, and SIGKILL after the grace time; it returns false if that was necessary.
func (testprocess *testProcess) stop(graceTime time.Duration) bool {
	if err := testprocess.command.Process.Signal(syscall.SIGTERM); err != nil {
		return false
	}
	kill := time.AfterFunc(graceTime, func() { _ = testprocess.command.Process.Kill() })
	defer kill.Stop()
	return testprocess.command.Wait() == nil
}

// patientRoutes are routes to the divided service whose requests may last longer than the shutdown of a daemon.
const patientRoutes = `,
 "patient":{"host":"h","prefix":"/patient/","routeType":"idempotent","timeoutS":60,"targetLatencyS":60,"priority":2,"service":"divided","attempts":2},
 "once":{"host":"h","prefix":"/once/","routeType":"non_idempotent","timeoutS":60,"targetLatencyS":60,"priority":1,"service":"divided","attempts":2}},
 "services"`

// TestStoppingDaemonCutsNoRequestOff stops one daemon in calm while the owners of all keys take longer than its shutdown may last.
//
// It covers the daemon to which the clients are connected, and the one beside an owner.
func TestStoppingDaemonCutsNoRequestOff(t *testing.T) {
	const graceTime, runTime = 6 * time.Second, 9 * time.Second
	for _, stopped := range []string{"plain-1", "divided-1"} {
		t.Run(stopped, func(t *testing.T) {
			store := simulator.NewStore()
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			put(t, store, "op/config", strings.Replace(fmt.Sprintf(testConfig, 1), "},\n \"services\"", patientRoutes, 1))
			var process *testProcess
			addresses, backends := map[string]string{}, map[string]*simulator.Server{}
			for _, name := range fleetNames {
				service, number, _ := strings.Cut(name, "-")
				if name == stopped {
					process = startProcess(t, name, "z"+number, service, server.Listener.Addr().String())
					addresses[name], backends[name] = process.clientAddress, process.backend
					continue
				}
				daemon := startDaemon(t, name, "z"+number, service, server.Listener.Addr().String())
				addresses[name], backends[name] = daemon.clientAddress, daemon.backend
			}
			waitForService(t, addresses["plain-1"])
			backends["divided-1"].SetRunTime(runTime)
			backends["divided-2"].SetRunTime(runTime)
			var clients sync.WaitGroup
			clients.Go(func() {
				if !process.stop(graceTime) {
					t.Error("the daemon was still running at the end of the grace time")
				}
			})
			for index, path := range []string{"/once/x", "/patient/x", "/once/x", "/patient/x", "/once/x", "/patient/x"} {
				time.Sleep(300 * time.Millisecond)
				clients.Go(func() { checkStopAnswers(t, addresses["plain-1"], path, index) })
			}
			clients.Wait()
		})
	}
}

// checkStopAnswers sends requests for four keys; it fails if one is cut off, or if one that may run once only was sent and got no answer.
func checkStopAnswers(t *testing.T, address, path string, index int) {
	var requests sync.WaitGroup
	for key := 0; key < 65536; key += 16384 {
		requests.Go(func() {
			httpRequest, err := http.NewRequest("POST", "http://"+address+path, nil)
			if err != nil {
				t.Error(err)
				return
			}
			httpRequest.Host = "h"
			httpRequest.Header.Set("X-Request-Id", fmt.Sprint(path, index, "-", key))
			httpRequest.Header.Set("X-Deadline-Ms", "60000")
			httpRequest.Header.Set("X-Shard-Key", fmt.Sprint(key))
			sent := time.Now()
			response, err := http.DefaultClient.Do(httpRequest)
			if err != nil {
				t.Errorf("%s %d for key %d got no answer after %v: %v", path, index, key, time.Since(sent), err)
				return
			}
			defer response.Body.Close()
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Errorf("%s %d for key %d: the answer broke off: %v", path, index, key, err)
			}
			isAnswer := response.StatusCode == http.StatusOK || response.StatusCode == http.StatusServiceUnavailable
			if strings.HasPrefix(path, "/once/") && !isAnswer {
				t.Errorf("%s %d for key %d was sent to its owner, whose answer was lost after %v: status %d", path, index, key, time.Since(sent), response.StatusCode)
			}
		})
	}
	requests.Wait()
}
